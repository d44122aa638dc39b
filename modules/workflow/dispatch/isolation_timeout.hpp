#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_ISOLATION_TIMEOUT_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_ISOLATION_TIMEOUT_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/table/workflow_table.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// Relaxes the isolation of tasks that have waited for it too long.
///
/// Few isolated tasks can start at a time, so many of them would wait for long
/// beside room on usable workers. Once no more workers crash, more of
/// them may be closed for overdue tasks. If there are so many that they can't
/// start one by one, each may share a worker, unless its next count could delay
/// its next start.
class isolation_timeout
{
public:
    /// @param table Must outlive the object.
    explicit isolation_timeout(workflow_table const& table);

    /// @param now On the clock of the replicated state.
    /// @param workers Number of workers.
    /// @return The stages, with the overdue tasks marked. Valid until the next
    ///         call, if the stages are.
    std::vector<pending_stage const*>
    apply(core::time_point now,
          std::size_t workers,
          std::vector<pending_stage const*> waiting);

private:
    /// Must see each plan, because a suspect may be placed by the next one.
    void observe_ends(std::vector<pending_stage const*> const& waiting);

    std::set<core::task_run>
    find_overdue(core::time_point now,
                 std::vector<pending_stage const*> const& waiting) const;

    /// @return False if one more count could delay the task's next start.
    bool may_share(core::task_run const& run) const;

    workflow_table const& m_table;
    /// When a run of a suspected task ended last.
    std::optional<core::time_point> m_last_end;
    /// True from when there were too many overdue tasks until there is none.
    bool m_is_backlogged = false;
    /// Copies of the stages with overdue tasks.
    std::deque<pending_stage> m_changed;
};

} // namespace turmericswitch::workflow

#endif
