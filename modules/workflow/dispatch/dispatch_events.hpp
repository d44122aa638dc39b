#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCH_EVENTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCH_EVENTS_HPP

#include "core/events/event.hpp"
#include "workflow/dispatch/copy_planner.hpp"
#include "workflow/dispatch/late_starts.hpp"
#include "workflow/dispatch/move_controller.hpp"
#include "workflow/dispatch/oversized_stages.hpp"
#include "workflow/dispatch/pace_controller.hpp"
#include "workflow/dispatch/preemption_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"

#include <optional>

namespace turmericswitch::workflow
{

// Events for the leader's decisions, with the inputs of each decision and the
// age of these. docs/events.md lists the fields.

core::event worker_seen_event(worker_view const& view);

/// @param refused_under Fencing token under which the runs were refused.
/// @param current Token that the leader grants the sidecar.
core::event refusals_outdated_event(worker_view const& view,
                                    std::uint64_t refused_under,
                                    std::uint64_t current);

/// Runs that ended with an incarnation of a worker.
struct lost_runs
{
    std::uint64_t all = 0;
    /// Those that reports had not listed for `establishment_time`.
    std::uint64_t not_established = 0;
    /// True if the worker is known to have crashed.
    bool has_crashed = false;
};

/// @param view Null if this leader has had no report of the worker.
core::event worker_lost_event(core::time_point now,
                              core::worker_id const& worker,
                              lost_runs const& runs,
                              worker_view const* view);

/// @param last The run end that triggered the quarantine.
core::event worker_set_aside_event(core::run_outcome const& last);

/// @param before Previous pace in percent.
core::event pace_event(core::worker_id const& worker,
                       core::run_pace const& pace,
                       std::uint32_t before,
                       colocation_sample const& sample);

/// @param next A worker with capacity for the task.
core::event run_evicted_event(core::worker_id const& worker,
                              core::task_run const& run,
                              core::worker_id const& next);

core::event run_moved_event(run_move const& move);

core::event task_fits_nowhere_event(oversized_stage const& found);
/// @param cluster_now On the clock of the submission times.
core::event job_prospect_event(core::time_point cluster_now,
                               overload::job_account const& account,
                               overload::job_rank const& rank);

/// @param cluster_now On the clock of the submission times.
core::event job_refused_event(core::time_point cluster_now,
                              overload::job_account const& account,
                              overload::admission_decision const& decision);

core::event run_preempted_event(preemption const& what);

core::event start_withdrawn_event(core::worker_id const& worker,
                                  core::task_run const& run);

/// @param workflow Null if the table no longer has it.
/// @param waited How long the stage has had unplaced tasks, or `nullopt` if
///        that is unknown.
/// @param view Null if this leader has had no report of the worker.
core::event run_placed_event(core::time_point now,
                             core::run_placement const& placed,
                             core::workflow_record const* workflow,
                             std::optional<core::duration> waited,
                             worker_view const* view);

/// @param since_placed `nullopt` for a run that an earlier leader placed.
/// @param established Whether the run had been listed for `establishment_time`;
///        `nullopt` for a run that did not end with its worker.
/// @param is_assumed True if nobody saw how the run ended.
core::event run_ended_event(core::run_outcome const& outcome,
                            std::optional<core::duration> since_placed,
                            std::optional<bool> established,
                            bool is_assumed);

/// @param is_acknowledged False if the worker has restarted before.
core::event ends_withheld_event(core::worker_id const& worker,
                                withheld_ends const& ends,
                                core::duration time,
                                bool is_acknowledged);

/// @param outcome The end of a run that was taken for ended before.
core::event late_end_event(core::run_outcome const& outcome);

core::event copy_decided_event(copy_decision const& decision);

/// @param outcome What became known of a run that ended as `suspected`.
core::event suspicion_resolved_event(core::run_outcome const& outcome);

/// @param outcome The last crash that was counted against the task.
/// @param crashes Number of counted crashes.
core::event task_isolated_event(core::run_outcome const& outcome,
                                std::uint32_t crashes);

} // namespace turmericswitch::workflow

#endif
