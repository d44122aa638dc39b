#include "workflow/dispatch/unseen_ends.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

using core::run_end;

bool has_ended_unseen(worker_view const& worker, core::task_run const& run)
{
    auto const& runs = worker.ended_unseen;
    return std::find(runs.begin(), runs.end(), run) != runs.end();
}

unseen_ends::unseen_ends(workflow_table const& table, worker_fleet const& fleet)
    : m_table(table), m_fleet(fleet)
{
}

run_end unseen_ends::assumed_end(core::task_run const& run) const
{
    auto const* const stage = m_table.find_stage(run.task);
    if (stage == nullptr || stage->behaviour.long_running ||
        workflow_table::may_be_copied(*stage))
    {
        return run_end::lost;
    }
    return stage->behaviour.gang && has_other_members(run) ? run_end::lost
                                                           : run_end::done;
}

bool unseen_ends::has_other_members(core::task_run const& run) const
{
    auto const members = m_table.held_gang_runs(run.task);
    return std::any_of(members.begin(),
                       members.end(),
                       [&](core::run_placement const& member)
                       {
                           auto const* const view = m_fleet.find(member.worker);
                           return member.run.attempt == run.attempt &&
                                  (view == nullptr ||
                                   !has_ended_unseen(*view, member.run));
                       });
}

} // namespace turmericswitch::workflow
