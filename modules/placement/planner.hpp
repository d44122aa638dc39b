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

/// Numbers for metrics.
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
/// Use it on the control leader: feed in every committed change and every
/// usage report, call `tick` every 100 ms or so, commit the batch it returns,
/// and report back every part of it that was not committed. It has no I/O and
/// no clock. `now` never decreases over all calls. A new leader rebuilds it
/// with `worker_changed`, `configuration_changed`, `job_queued` and
/// `task_restored`.
///
/// Capacity is held from the tick that places a job until the job is queued
/// again or has ended, so a task that is starting, stopping or unconfirmed
/// counts in full.
class planner
{
public:
    explicit planner(planner_options options = {});
    planner(planner const&) = delete;
    planner& operator=(planner const&) = delete;

    /// A worker registered, returned, or changed its capacity or place.
    void worker_changed(core::time_point now,
                        core::worker_description const& description);

    /// Heartbeats are missing: nothing starts there, tasks keep capacity.
    void worker_lost(core::time_point now, core::worker_id const& worker);

    /// The worker was retired; it is forgotten once it holds no task.
    void worker_retired(core::time_point now, core::worker_id const& worker);

    /// A job is new, or its attempt before `next_attempt` is over for certain
    /// (confirmed, or its lease ended), which frees the capacity it held.
    void job_queued(core::time_point now, queued_job const& job);

    /// An attempt that runs already, for a new leader.
    void task_restored(core::time_point now, restored_task const& task);

    void job_started(core::time_point now,
                     core::job_id job,
                     core::attempt_number attempt);

    void job_checkpointed(core::time_point now,
                          core::job_id job,
                          core::attempt_number attempt);

    /// The attempt was told to stop for any reason, for example by a
    /// cancellation; it holds its capacity until it is queued again or ends.
    void job_evicting(core::time_point now,
                      core::job_id job,
                      core::attempt_number attempt);

    /// The attempt failed on its worker. Send it before the `job_queued` of
    /// the next attempt, and not for attempts that were lost or evicted.
    void attempt_failed(core::time_point now,
                        core::job_id job,
                        core::attempt_number attempt);

    /// The job is over and its worker no longer runs it.
    void
    job_ended(core::time_point now, core::job_id job, terminal_state state);

    /// @param sample Its age is the time from measurement to `now`.
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

    /// @param wall Calendar time, for deadlines.
    tick_decisions tick(core::time_point now, core::wall_time wall);

    planner_counts counts() const;

    /// @return What is reserved on the worker; zero when it is unknown.
    core::resources reserved_on(core::worker_id const& worker) const;

    interference_model const& interference() const noexcept;

    /// @return The same number for the same kind, for `interference`.
    kind_index kind_of(core::task_kind const& kind);

private:
    task_entry* active(core::job_id job, core::attempt_number attempt);
    void rank(task_entry& task);
    void rank_new_jobs();
    /// Ranks tasks that were restored before the calendar time was known.
    void rank_restored();
    void enqueue(core::time_point now, task_entry& task);
    void stop(task_entry& task,
              core::result_code code,
              std::string const& reason,
              tick_decisions& decisions);
    bool refuse(task_entry& task, tick_decisions& decisions);
    void rank_all_again();
    void drop_retired();

    planner_state m_state;
    pressure_controller m_ladder;
    zone_evacuator m_mover;
    tick_decisions m_pending;
    failure_handler m_failures;
    /// Queued since the last tick: not yet ranked nor checked for fit.
    std::set<core::job_id> m_new_jobs;
    std::set<std::size_t> m_retiring;
    /// Known from the first tick on.
    core::duration m_wall_offset{};
    bool m_ticked = false;
    core::time_point m_zones_applied{};
    core::time_point m_ranked_all{};
};

} // namespace turmericswitch::placement

#endif
