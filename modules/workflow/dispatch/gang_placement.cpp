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
    if (pending.runs.size() > max_tasks)
    {
        return {};
    }
    saved_workers saved;
    auto placed =
        place_tasks(pending, candidates, max_tasks, tail, policy, true, &saved);
    if (placed.size() < pending.runs.size())
    {
        for (auto& [worker, before] : saved)
        {
            *worker = std::move(before);
        }
        return {};
    }
    return placed;
}

} // namespace turmericswitch::workflow
