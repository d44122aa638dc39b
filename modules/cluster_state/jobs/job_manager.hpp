#ifndef TURMERICSWITCH_CLUSTER_STATE_JOBS_JOB_MANAGER_HPP
#define TURMERICSWITCH_CLUSTER_STATE_JOBS_JOB_MANAGER_HPP

#include "cluster_state/configuration/configuration_state.hpp"
#include "cluster_state/jobs/job_table.hpp"
#include "cluster_state/jobs/worker_table.hpp"

#include <functional>

namespace turmericswitch::cluster_state
{

/// Limits of one submission; a job's payload is a command line, not data.
constexpr std::size_t max_jobs_per_submission = 1000;
constexpr std::size_t max_payload_bytes = 4096;
constexpr std::size_t max_job_name_bytes = 256;
/// Longer reason texts, for example from workers, are truncated.
constexpr std::size_t max_reason_bytes = 512;

/// Called when an attempt begins or ceases to hold resources of a worker.
using hold_observer =
    std::function<void(core::held_task const& task, bool is_held)>;

/// Applies commands to the jobs and workers and performs all transitions
/// between job states.
///
/// The attempt number is a fencing token: an order or report for an attempt
/// other than the current one is ignored and counted. Each item of a command
/// costs O(log jobs + log workers + kinds on the worker).
class job_manager
{
public:
    core::command_reply submit(core::submit_jobs const& command,
                               core::time_point now);
    core::command_reply cancel(core::cancel_jobs const& command,
                               core::time_point now);
    core::command_reply register_worker(core::worker_description const& worker);
    core::command_reply report(core::worker_reports const& command,
                               core::time_point now);
    core::command_reply expire(core::expire_leases const& command,
                               core::time_point now);
    core::command_reply retire(core::worker_id const& worker);
    /// Placements that are no longer valid, for example because the resources
    /// are taken, are dropped and counted; the rest of the batch is applied.
    core::command_reply place(core::placement_batch const& command,
                              configuration_state const& config,
                              core::time_point now);
    void prune(core::time_point now, std::size_t limit);

    job_table const& jobs() const noexcept;
    worker_table const& workers() const noexcept;
    core::state_counters& counters() noexcept;
    core::state_counters const& counters() const noexcept;

    /// @param observer Called while a command above is applied; may be empty.
    void observe(hold_observer observer);
    /// Moves the observer from the job manager that this one replaces.
    void take_observer(job_manager& replaced);

    /// Restores the workers and counters of a snapshot, without its jobs.
    void restore(core::state_snapshot snapshot);
    /// Adds the jobs of one part of a snapshot; call `restore` before.
    /// @return False if a job holds resources of an unknown worker.
    bool restore_jobs(std::vector<core::job_record> jobs);

private:
    bool apply_placement(core::place_task const& order,
                         configuration_state const& config,
                         core::time_point now);
    void apply_eviction(core::evict_task const& order, core::time_point now);
    void apply_stop(core::stop_job const& order, core::time_point now);
    void apply_report(core::job_record& job,
                      core::task_report const& report,
                      core::time_point now);
    void release(core::job_record& job);
    void requeue(core::job_record& job, core::time_point now);
    void end_attempt(core::job_record& job,
                     core::job_state next,
                     core::time_point now);

    job_table m_jobs;
    worker_table m_workers;
    core::state_counters m_counters;
    hold_observer m_observer;
};

} // namespace turmericswitch::cluster_state

#endif
