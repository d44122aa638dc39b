#include "workflow/dispatch/gang_placement.hpp"

#include "workflow/dispatch/task_placement.hpp"

#include <utility>

namespace turmericswitch::workflow
{

std::vector<core::run_placement>
place_gang(pending_stage const& pending,
           std::vector<candidate_worker*> const& candidates,
           std::size_t max_tasks,
           tail_hook const& tail,
           placement_policy const& policy)
{
    auto const report = [&](placement_obstacle why)
    {
        if (policy.on_unplaced)
        {
            policy.on_unplaced(pending, pending.runs.size(), why);
        }
    };
    if (pending.runs.size() > max_tasks)
    {
        report(placement_obstacle::plan_limit);
        return {};
    }
    saved_workers saved;
    auto why = placement_obstacle::gang;
    auto of_members = policy;
    of_members.on_unplaced =
        [&why](pending_stage const&, std::size_t, placement_obstacle found)
    { why = found; };
    auto placed = place_tasks(
        pending, candidates, max_tasks, tail, of_members, true, &saved);
    if (placed.size() < pending.runs.size())
    {
        for (auto& [worker, before] : saved)
        {
            *worker = std::move(before);
        }
        report(placed.empty() ? why : placement_obstacle::gang);
        return {};
    }
    return placed;
}

} // namespace turmericswitch::workflow
