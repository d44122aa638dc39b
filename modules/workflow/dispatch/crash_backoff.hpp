#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_BACKOFF_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_BACKOFF_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/table/workflow_table.hpp"

#include <deque>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Delays the next start of tasks under which worker after worker has crashed.
///
/// The delays are this leader's; after an election such a task starts at once.
class crash_backoff
{
public:
    /// @param table Must outlive the object.
    explicit crash_backoff(workflow_table const& table);

    /// Must be called after a command was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// @return The stages without the runs that must wait. Valid until the next
    ///         call, if the stages are.
    std::vector<pending_stage const*>
    without_delayed(core::time_point now,
                    std::vector<pending_stage const*> const& waiting);

private:
    bool has_delayed(pending_stage const& pending) const;
    pending_stage reduced(pending_stage const& pending) const;

    workflow_table const& m_table;
    /// When each delayed task may start.
    std::map<core::task_ref, core::time_point> m_due;
    /// Copies of the stages with delayed tasks.
    std::deque<pending_stage> m_reduced;
};

} // namespace turmericswitch::workflow

#endif
