#include "workflow/dispatch/stage_planner.hpp"

#include "workflow/dispatch/crash_isolation.hpp"
#include "workflow/dispatch/gang_placement.hpp"
#include "workflow/dispatch/packing.hpp"
#include "workflow/dispatch/task_placement.hpp"

#include <algorithm>
#include <tuple>

namespace turmericswitch::workflow
{

std::vector<core::run_placement>
plan_stages(std::vector<pending_stage const*> pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail,
            placement_policy const& policy)
{
    std::stable_sort(pending.begin(),
                     pending.end(),
                     [](pending_stage const* a, pending_stage const* b)
                     {
                         bool const a_after = !has_isolated(*a);
                         bool const b_after = !has_isolated(*b);
                         return std::tie(a_after,
                                         a->urgency,
                                         a->priority,
                                         a->rank,
                                         a->submitted,
                                         a->stage) < std::tie(b_after,
                                                              b->urgency,
                                                              b->priority,
                                                              b->rank,
                                                              b->submitted,
                                                              b->stage);
                     });
    std::vector<core::run_placement> placements;
    auto holdable = most_held(candidates.size());
    hold_kept_workers(policy, candidates);
    auto const report =
        [&policy](pending_stage const& stage, placement_obstacle why)
    {
        if (policy.on_unplaced)
        {
            policy.on_unplaced(stage, stage.runs.size(), why);
        }
    };
    for (auto const* const each : pending)
    {
        auto const left = max_tasks - placements.size();
        if (left == 0)
        {
            report(*each, placement_obstacle::plan_limit);
            continue;
        }
        bool const is_isolated = has_isolated(*each);
        bool const may_place_isolated =
            !is_isolated || may_isolate(*each, candidates);
        bool const is_gang = each->description->behaviour.gang;
        if (is_gang && !may_place_isolated)
        {
            report(*each, placement_obstacle::isolation_limit);
            continue;
        }
        auto const placed =
            is_gang ? place_gang(*each, candidates, left, tail, policy)
                    : place_tasks(*each,
                                  candidates,
                                  left,
                                  tail,
                                  policy,
                                  may_place_isolated);
        if (is_isolated && may_place_isolated &&
            has_unplaced_isolated(*each, placed))
        {
            close_worker(*each, candidates);
        }
        if (policy.wide != nullptr && placed.size() < left)
        {
            hold_workers(
                *each, each->runs.size() - placed.size(), candidates, holdable);
        }
        placements.insert(placements.end(), placed.begin(), placed.end());
    }
    release_workers(candidates);
    return placements;
}

} // namespace turmericswitch::workflow
