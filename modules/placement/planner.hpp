#ifndef TURMERICSWITCH_PLACEMENT_PLANNER_HPP
#define TURMERICSWITCH_PLACEMENT_PLANNER_HPP

#include "core/messages/jobs.hpp"
#include "placement/policy/failure_handler.hpp"
#include "placement/policy/planner_state.hpp"
#include "placement/policy/pressure_controller.hpp"
#include "placement/policy/zone_evacuator.hpp"
#include "placement/types/events.hpp"

namespace turmericswitch::placement
{

/// Current counts, for metrics.
struct planner_counts
{
    std::size_t queued = 0;
    std::size_t workers = 0;
    std::size_t quarantined = 0;
    std::size_t learned_pairs = 0;
    std::size_t learned_sizes = 0;
};

/// Decides which job runs on which worker.
///
/// Runs on the control leader, which passes in every committed change and every
/// usage report, calls `tick` about every 100 ms, commits the batch that it
/// returns, and reports every part of it that was not committed. The planner
/// has no I/O and no clock; `now` must not decrease from call to call. A new
/// leader rebuilds its planner with `worker_changed`, `configuration_changed`,
/// `job_queued` and `task_restored`.
///
/// A job holds capacity from the tick that places it until it is queued again
/// or has ended, also while its task starts or stops or its worker is lost.
class planner
{
public:
    explicit planner(planner_options options = {});
    planner(planner const&) = delete;
    planner& operator=(planner const&) = delete;

    /// A worker registered, returned, or changed its capacity or location.
    void worker_changed(core::time_point now,
                        core::worker_description const& description);

    /// Heartbeats of the worker are missing: no task is placed on it, and its
    /// tasks keep their capacity.
    void worker_lost(core::time_point now, core::worker_id const& worker);

    /// The worker was retired; it is removed once it has no tasks.
    void worker_retired(core::time_point now, core::worker_id const& worker);

    /// A job is new, or its attempt before `next_attempt` has certainly ended
    /// (confirmed by the worker, or its lease expired). Releases the capacity
    /// of that attempt.
    void job_queued(core::time_point now, queued_job const& job);

    /// Passes an attempt that is already running to the planner of a new
    /// leader.
    void task_restored(core::time_point now, restored_task const& task);

    void job_started(core::time_point now,
                     core::job_id job,
                     core::attempt_number attempt);

    void job_checkpointed(core::time_point now,
                          core::job_id job,
                          core::attempt_number attempt);

    /// The attempt was told to stop, for example by a cancellation. The job
    /// holds its capacity until it is queued again or ends.
    void job_evicting(core::time_point now,
                      core::job_id job,
                      core::attempt_number attempt);

    /// The attempt failed on its worker. Must be called before the `job_queued`
    /// of the next attempt, and not for attempts that were lost or evicted.
    void attempt_failed(core::time_point now,
                        core::job_id job,
                        core::attempt_number attempt);

    /// The job ended and its worker no longer runs it.
    void
    job_ended(core::time_point now, core::job_id job, terminal_state state);

    /// @param sample Usage of one task; its age is the time from the
    /// measurement to `now`.
    void usage_reported(core::time_point now,
                        core::worker_id const& worker,
                        core::usage_sample const& sample);

    void configuration_changed(core::time_point now,
                               core::configuration const& config);

    void zone_changed(core::time_point now,
                      core::zone_id const& zone,
                      core::zone_state state);

    /// A placement of the last batch was not committed.
    void placement_dropped(core::time_point now,
                           core::job_id job,
                           core::attempt_number attempt);

    /// An eviction of the last batch was not committed.
    void eviction_dropped(core::job_id job, core::attempt_number attempt);

    /// A `stop_job` of the last batch was not committed.
    void stop_dropped(core::job_id job);

    /// Makes the decisions that are due.
    ///
    /// @param wall Calendar time at `now`, for deadlines.
    tick_decisions tick(core::time_point now, core::wall_time wall);

    planner_counts counts() const;

    /// @return Reserved resources on the worker; zero if it is unknown.
    core::resources reserved_on(core::worker_id const& worker) const;

    interference_model const& interference() const noexcept;

    /// @return The index of the kind, for use with `interference`.
    kind_index kind_of(core::task_kind const& kind);

private:
    task_entry* find_active(core::job_id job, core::attempt_number attempt);
    /// Sets the job's priority, deadline and latest start.
    void rank(task_entry& task);
    void queue_unranked_jobs();
    /// Sets priorities and deadlines of tasks that were restored before the
    /// calendar time was known.
    void rank_restored();
    void enqueue(core::time_point now, task_entry& task);
    void stop(task_entry& task,
              core::result_code code,
              std::string const& reason,
              tick_decisions& decisions);
    bool refuse_if_infeasible(task_entry& task, tick_decisions& decisions);
    void mark_all_unranked();
    void remove_retired_workers();

    planner_state m_state;
    pressure_controller m_pressure;
    zone_evacuator m_evacuator;
    /// Decisions since the last tick; returned by the next one.
    tick_decisions m_next_decisions;
    failure_handler m_failures;
    /// Queued jobs whose priority, deadline and feasibility the next tick
    /// determines before they enter the queue.
    std::set<core::job_id> m_unranked_jobs;
    std::set<std::size_t> m_retired_slots;
    /// Calendar time minus monotonic time; known from the first tick on.
    core::duration m_wall_offset{};
    bool m_ticked = false;
    core::time_point m_last_zone_update{};
    core::time_point m_last_rerank{};
};

} // namespace turmericswitch::placement

#endif
