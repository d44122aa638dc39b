#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_MOVE_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_MOVE_CONTROLLER_HPP

#include "workflow/dispatch/move_search.hpp"
#include "workflow/dispatch/stage_backlog.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// A run that is stopped on its worker so that a waiting task has room there.
struct run_move
{
    core::task_run run;
    core::worker_id worker;
    /// The stage of the waiting task.
    stage_ref waiting;
};

/// Moves runs so that a wide or long-running task that has waited for a while
/// has room on one worker.
///
/// One run is moved at a time: the next one follows after it was placed again.
/// The worker is kept for the waiting task meanwhile, so that the moved run
/// does not return there. Nothing of this is replicated: a new leader derives
/// the same worker from the table, because it now lacks less than any other,
/// and goes on with the runs that are left. When the task no longer waits, or
/// the worker is no candidate any more, no further run is moved.
///
/// The first attempt of a task counts as waiting from its submission. A later
/// one, for example of a moved run, has waited only since this leader saw it
/// unplaced.
class move_controller
{
public:
    /// The arguments must outlive the object.
    move_controller(workflow_table const& table,
                    worker_fleet const& fleet,
                    stage_backlog const& backlog,
                    core::time_point elected);

    /// Chooses the waiting tasks and their workers, at a limited rate.
    void update(plan_times const& times,
                std::vector<pending_stage const*> const& waiting,
                std::vector<candidate_worker*> candidates,
                tail_hook const& tail,
                placement_policy const& policy);

    /// @return The workers that are kept for waiting tasks.
    std::vector<kept_worker> kept() const;

    /// @param evicting Runs that are being evicted.
    /// @return The run to move now, if there is one; it counts as moved.
    std::optional<run_move> take_next(core::time_point now,
                                      std::set<core::task_run> const& evicting);

private:
    struct move_target
    {
        stage_ref waiting;
        std::uint32_t priority = 0;
        core::resources need;
        move_set moves;
    };

    bool has_waited(plan_times const& times,
                    pending_stage const& pending) const;
    std::vector<pending_stage const*>
    stages_to_examine(plan_times const& times,
                      std::vector<pending_stage const*> const& waiting,
                      std::vector<candidate_worker*> const& candidates) const;
    void remove_outdated(std::vector<pending_stage const*> const& waiting,
                         std::vector<candidate_worker*> const& candidates);
    std::vector<movable_run> movable_on(candidate_worker const& worker,
                                        std::uint32_t priority) const;
    bool may_be_away(core::task_run const& run,
                     std::set<core::task_run> const& evicting) const;
    bool may_move(core::task_run const& run,
                  core::worker_id const& worker,
                  std::set<core::task_run> const& evicting) const;
    bool is_move_open(core::time_point now);

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    stage_backlog const& m_backlog;
    core::time_point m_elected;
    core::time_point m_next_search;
    core::time_point m_next_move;
    /// Of several waiting tasks, those with better priority come first.
    std::vector<move_target> m_targets;
    /// The last moved run until it was placed again.
    std::optional<core::task_run> m_moving;
    core::time_point m_moving_since;
};

} // namespace turmericswitch::workflow

#endif
