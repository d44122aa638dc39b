#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_START_AFFINITY_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_START_AFFINITY_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/late_starts.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/plan_times.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// Holds a task back while a worker may still execute an unanswered start of
/// it: a worker that restarts has forgotten every proof that the start is void,
/// and would begin the task beside its next run or after its end. The task is
/// free when the start can't be executed any more, which the worker's sidecar
/// or the time shows.
///
/// Callers allow a long-running task too little time for that, and it has no
/// end that a start could follow. It stays on that worker, which rejects the
/// start itself as long as its incarnation lasts.
class start_affinity
{
public:
    /// The arguments must outlive the object.
    start_affinity(workflow_table const& table,
                   worker_fleet const& fleet,
                   late_starts const& starts);

    /// Must be called after each report of the worker.
    void reported(worker_view const& worker);

    /// Splits the stages by the workers that may get their tasks, and leaves
    /// out the tasks that must not start now. The result is valid until the
    /// next call, if the stages are.
    std::vector<pending_stage const*>
    restrict_workers(plan_times const& times,
                     std::vector<pending_stage const*> const& waiting);

private:
    enum class restriction
    {
        none,
        only_there,
        /// A run of the task runs or has just ended, or may still begin.
        no_start,
    };

    restriction restriction_of(plan_times const& times,
                               pending_stage const& pending,
                               core::task_ref const& task,
                               core::worker_id const& worker) const;
    /// Finds the tasks of which a worker runs a run that is not held.
    void find_running_unheld(core::time_point now);
    /// @return True if a run of the task has ended on the worker in a way that
    ///         is not committed yet.
    bool has_late_end(worker_view const& worker,
                      core::task_ref const& task) const;
    void split(plan_times const& times,
               pending_stage const& pending,
               std::vector<pending_stage const*>& result);
    /// @return True if a worker runs a run of one of the stage's tasks that is
    ///         not held.
    bool has_running_unheld(pending_stage const& pending) const;
    /// Removes the tasks with such runs.
    void erase_running_unheld(pending_stage& pending) const;
    void add(pending_stage stage, std::vector<pending_stage const*>& result);

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    late_starts const& m_starts;
    /// Runs that the workers' last lists have as running and that were not
    /// held then: late starts of ended runs.
    std::map<core::worker_id, std::vector<core::task_run>> m_unheld;
    /// Tasks of such runs at the time of the plan.
    std::set<core::task_ref> m_running_unheld;
    /// Parts of the stages that were split.
    std::deque<pending_stage> m_parts;
};

} // namespace turmericswitch::workflow

#endif
