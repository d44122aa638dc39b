#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_LATE_STARTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_LATE_STARTS_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/plan_times.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// Ends of one incarnation of a worker that are committed and stay on its list,
/// because it may still execute a start of one of their tasks.
struct withheld_ends
{
    core::incarnation life;
    core::time_point since;
    /// Numbers of the first and the last one.
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// Knows on which worker, and until when, a start of a task may still begin.
///
/// A start call without an answer may be executed until `longest_call_delay`
/// after it was made, by whatever incarnation of its worker is up then. A
/// tombstone, a list or a fencing token that rejects it is gone with the
/// incarnation, and so is a listed end. Only the answer to the call, its age,
/// and another worker on the instance show for good that it begins nothing.
///
/// A worker that begins a task again after its end breaks the users' rules only
/// if that end is acknowledged, which stands for good. So an end stays on the
/// worker's list until no start of its task can follow.
///
/// Which task is concerned is in the replicated state, and since when is not. A
/// new leader counts the time from its election.
class late_starts
{
public:
    /// The arguments must outlive the object.
    late_starts(workflow_table const& table,
                worker_fleet const& fleet,
                core::time_point elected);

    /// Must be called after each report of the worker.
    void reported(worker_view const& worker);

    /// Must be called when an end is about to be committed. The sidecar may not
    /// know all starts that were called before.
    ///
    /// @param called_after As for `may_follow`.
    void collected(core::time_point now,
                   core::run_outcome const& outcome,
                   std::optional<core::time_point> called_after);

    /// Must be called after a command was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// @param called_after Time after which all calls of the task to the worker
    ///        were made that it may still execute; `nullopt` if not known.
    /// @return True if the worker may still execute a start of the run's task
    ///         that was called for this run or an earlier one.
    bool may_follow(core::worker_id const& worker,
                    core::incarnation life,
                    core::task_run const& run,
                    std::optional<core::time_point> called_after) const;

    /// @return True if a start of the task may still begin a run on the worker,
    ///         which holds none.
    bool may_begin(core::time_point now,
                   core::task_ref const& task,
                   core::worker_id const& worker) const;

    /// Callers allow a long-running task less time without a run than a start
    /// takes to become void, unless its worker restarts or falls silent
    /// meanwhile.
    ///
    /// @return True if the task has waited for the worker for as long as they
    ///         allow, so that it must start elsewhere although a start may
    ///         still begin it there.
    bool is_long_running_wait_over(plan_times const& times,
                                   core::task_ref const& task,
                                   core::worker_id const& worker) const;

    /// @return True if the committed end, in the worker's last report, must not
    ///         be acknowledged yet.
    bool must_stay_listed(core::ended_run const& ended,
                          worker_view const& worker) const;

private:
    /// A task whose last run has left an unresolved start.
    struct open_task
    {
        /// When the end of the run was committed.
        core::time_point since;
        /// When no start of the task can be executed any more.
        core::time_point due;
    };

    /// @return True if the worker's sidecar has reported since the task's last
    ///         run ended and knows of no start that may be executed.
    bool is_resolved(worker_view const& worker,
                     core::task_ref const& task) const;
    /// @return True if an incarnation of the worker has registered and not
    ///         listed its runs yet.
    bool awaits_list(core::time_point now, core::worker_id const& worker) const;

    /// The last end of a task that was committed while the sidecar didn't know
    /// all starts.
    struct doubtful_end
    {
        core::time_point collected;
        /// True if a start of an earlier sidecar may be left.
        bool may_be_followed = false;
    };

    /// @return True if a start of the task after this end breaks callers' rules
    ///         once the end is acknowledged.
    bool is_last_end(core::ended_run const& ended) const;
    /// @return True if a sidecar names a start of the task, or of its gang,
    ///         that may still be executed.
    bool has_known_start(core::time_point now,
                         core::task_ref const& task) const;
    /// @return True if a start of the task, or of its gang, may be left that
    ///         the worker's present sidecar doesn't know.
    bool has_unknown_start(core::task_ref const& task,
                           worker_view const& worker) const;
    /// @return The task, or the first one of its gang.
    core::task_ref key_of(core::task_ref const& task) const;
    /// Remembers a gang until its starts are resolved: the table drops the
    /// stages of a workflow that has ended.
    core::task_ref remember_key_of(core::time_point now,
                                   core::task_ref const& task);

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    core::time_point m_elected;
    std::map<core::task_ref, open_task> m_open;
    /// Keys of the tasks with an unresolved start in the last report of each
    /// worker.
    std::map<core::worker_id, std::set<core::task_ref>> m_unresolved;
    /// By the key of the task.
    std::map<core::task_ref, doubtful_end> m_doubtful;
    /// When each was needed last.
    std::map<stage_ref, core::time_point> m_gangs;
};

} // namespace turmericswitch::workflow

#endif
