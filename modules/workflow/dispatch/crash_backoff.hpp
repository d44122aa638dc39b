#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_BACKOFF_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_BACKOFF_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/plan_times.hpp"
#include "workflow/table/workflow_table.hpp"

#include <deque>
#include <vector>

namespace turmericswitch::workflow
{

/// Delays the next start of tasks under which worker after worker has crashed.
class crash_backoff
{
public:
    /// @param table Must outlive the object.
    explicit crash_backoff(workflow_table const& table);

    /// @return The stages without the runs that must wait. Valid until the next
    ///         call, if the stages are.
    std::vector<pending_stage const*>
    without_delayed(plan_times const& times,
                    std::vector<pending_stage const*> const& waiting);

private:
    bool has_delayed(plan_times const& times,
                     pending_stage const& pending) const;
    bool is_delayed(plan_times const& times,
                    pending_stage const& pending,
                    core::task_ref const& task) const;
    pending_stage reduced(plan_times const& times,
                          pending_stage const& pending) const;

    workflow_table const& m_table;
    /// Copies of the stages with delayed tasks.
    std::deque<pending_stage> m_reduced;
};

} // namespace turmericswitch::workflow

#endif
