#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_UNSEEN_ENDS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_UNSEEN_ENDS_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

namespace turmericswitch::workflow
{

/// @return True if the worker's last report has the run among those that have
///         ended in a way that nobody knows.
bool has_ended_unseen(worker_view const& worker, core::task_run const& run);

/// Decides what counts as the end of a run that has ended on its worker without
/// a list that shows how.
///
/// Nothing stopped the run, so it was done, as nearly all runs are, or it
/// failed or lapsed. It counts as done: the worker took the end for
/// acknowledged, and a second run of work that is done can't be taken back.
class unseen_ends
{
public:
    /// The arguments must outlive the object.
    unseen_ends(workflow_table const& table, worker_fleet const& fleet);

    /// @return `done`, or `lost` where another run does no harm or other runs
    ///         tell: a task that runs until it is cancelled, one that may have
    ///         copies, and a member of a gang, which ends as the others do.
    core::run_end assumed_end(core::task_run const& run) const;

private:
    /// @return True if a member of the run's gang may still be seen to end.
    bool has_other_members(core::task_run const& run) const;

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
};

} // namespace turmericswitch::workflow

#endif
