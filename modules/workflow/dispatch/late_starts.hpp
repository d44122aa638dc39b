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

/// @return True for an end by the task itself, `done` or `failed`. Callers
/// count
///         starts after one that is the last.
bool is_end_of_task(core::run_end how) noexcept;

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

    /// Must be called for a run whose end is about to be committed, and for the
    /// held runs of the other members if it is the end of a gang. Remembers
    /// starts that no sidecar may have named.
    ///
    /// @param called_after Time after which all calls of the task to the worker
    ///        were made that it may still execute; `nullopt` if not known.
    /// @return True if the worker may still execute a start of the run's task
    ///         that was called for this run or an earlier one.
    bool examine(core::time_point now,
                 core::run_placement const& run,
                 std::optional<core::time_point> called_after);

    /// Must be called after a command was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// A task that must run only once gets no second call while one without an
    /// answer may still be executed: whichever of them comes last could begin
    /// the task after its end.
    ///
    /// @param called_after As for `examine`.
    /// @return True if the worker's sidecar may call the start of the run,
    ///         which the worker does not list.
    static bool may_call(worker_view const& worker,
                         core::task_run const& run,
                         std::optional<core::time_point> called_after);

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

    /// What was known of a worker when an end of a task was committed.
    struct examined_starts
    {
        core::time_point since;
        /// True if a start that the worker's sidecar has not named may be left.
        bool may_be_left = false;
    };

    /// The tasks with an unresolved start in the last report of a sidecar.
    struct named_starts
    {
        core::time_point reported;
        /// Their keys.
        std::set<core::task_ref> tasks;
    };

    /// @param called_after As for `examine`.
    /// @return True if an earlier sidecar has made no call of the run's task
    ///         that the worker may still execute and this one doesn't name.
    static bool knows_all_calls(worker_view const& worker,
                                core::task_run const& run,
                                std::optional<core::time_point> called_after);
    /// @param called_after As for `examine`.
    /// @return True if the worker may still execute a start of the run's task
    ///         that is not in its sidecar's last report.
    static bool may_be_unnamed(worker_view const& worker,
                               core::run_placement const& run,
                               std::optional<core::time_point> called_after);
    /// Drops what has become void.
    void expire(core::time_point now);
    /// @return True if none of the starts can be executed any more.
    static bool is_expired(core::time_point now, named_starts const& starts);
    /// @return True if a start of the task after this end breaks callers' rules
    ///         once the end is acknowledged.
    bool is_last_end(core::ended_run const& ended) const;
    /// @return True if a sidecar names a start of the task, or of its gang,
    ///         that may still be executed.
    bool has_known_start(core::time_point now,
                         core::task_ref const& task) const;
    /// @param worker The one with the end of the task.
    /// @return True if a start of the task, or of its gang, may be left that
    ///         no sidecar has named.
    bool has_unknown_start(core::task_ref const& task,
                           worker_view const& worker) const;
    /// @return True if the start may still be executed, and the worker's
    /// sidecar
    ///         has not reported since all the starts that it called.
    bool is_left(core::time_point now,
                 core::worker_id const& worker,
                 examined_starts const& starts) const;
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
    /// By worker and sidecar. A replaced sidecar's calls may be under way, and
    /// its successor doesn't name them.
    std::map<core::worker_id, std::map<core::incarnation, named_starts>>
        m_unresolved;
    /// By the key of the task.
    std::map<core::task_ref, std::map<core::worker_id, examined_starts>>
        m_examined;
    /// When each was needed last.
    std::map<stage_ref, core::time_point> m_gangs;
};

} // namespace turmericswitch::workflow

#endif
