#include "workflow/dispatch/task_placement.hpp"

#include "workflow/dispatch/packing.hpp"
#include "workflow/dispatch/worker_ranking.hpp"
#include "workflow/dispatch/worker_speed_choice.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Calls `visit` with the runs of a stage that have the suspicion until it
/// returns false. Only tasks that were placed before are suspected, so these
/// are few where the stage is wide.
template <typename Visitor>
void for_each_run(pending_stage const& pending,
                  crash_suspicion suspicion,
                  Visitor visit)
{
    if (suspicion == crash_suspicion::none)
    {
        for (auto const& run : pending.runs)
        {
            if (!pending.suspected.contains(run) && !visit(run))
            {
                return;
            }
        }
        return;
    }
    for (auto const& [run, each] : pending.suspected)
    {
        if (each == suspicion && !visit(run))
        {
            return;
        }
    }
}

std::size_t count_runs(pending_stage const& pending, crash_suspicion suspicion)
{
    if (suspicion == crash_suspicion::none)
    {
        return pending.runs.size() - pending.suspected.size();
    }
    return static_cast<std::size_t>(std::count_if(
        pending.suspected.begin(),
        pending.suspected.end(),
        [suspicion](auto const& each) { return each.second == suspicion; }));
}

/// The prediction for an image that is at work beside no serving task is never
/// corrected, so a refusal by it would last. One task of the image at a time
/// gives samples, and its pace limits the harm.
bool may_probe(pending_stage const& pending,
               std::vector<candidate_worker*> const& candidates,
               placement_policy const& policy)
{
    auto const& behaviour = pending.description->behaviour;
    return behaviour.uses_spare_cpu && policy.is_effect_known &&
           std::none_of(candidates.begin(),
                        candidates.end(),
                        [&](candidate_worker const* each)
                        {
                            return each->serving > 0 &&
                                   each->best_effort_images.contains(
                                       behaviour.image);
                        });
}

/// Places the runs of a stage that have the same suspicion.
std::vector<core::run_placement>
place_equal_tasks(pending_stage const& pending,
                  crash_suspicion suspicion,
                  std::vector<candidate_worker*> const& candidates,
                  std::size_t max_tasks,
                  tail_hook const& tail,
                  placement_policy const& policy,
                  saved_workers* saved)
{
    std::vector<core::run_placement> placed;
    stage_placement placement{
        pending, policy, suspicion, pending.racks, spread_counts{}, {}};
    if (policy.wide != nullptr)
    {
        placement.wide = policy.wide->largest(pending.service);
    }
    if (is_packed(placement))
    {
        placement.spread = count_spread(pending, candidates);
    }
    worker_ranking ranking(candidates, placement, tail);
    auto why = placement_obstacle::none;
    auto const place = [&](core::task_run const& run)
    {
        if (placed.size() >= max_tasks)
        {
            why = placement_obstacle::plan_limit;
            return false;
        }
        auto* worker = ranking.best();
        bool const is_probe = worker == nullptr &&
                              ranking.is_limited_by_tail() &&
                              may_probe(pending, candidates, policy);
        if (is_probe)
        {
            ranking.rank_for_probe();
            worker = ranking.best();
        }
        if (worker == nullptr)
        {
            why = ranking.obstacle();
            return false;
        }
        if (waits_for_faster_worker(*worker, placement, placed))
        {
            why = placement_obstacle::faster_worker;
            return false;
        }
        if (saved != nullptr)
        {
            saved->try_emplace(worker, *worker);
        }
        worker->add_planned(pending.stage, *pending.description);
        worker->add_not_established(pending.stage.workflow, suspicion);
        placed.push_back({run, worker->worker, worker->life});
        ranking.best_changed();
        bool const is_other_rack =
            placement.racks.insert(worker->rack).second &&
            pending.description->constraints.prefers_one_rack;
        bool const is_spread_changed =
            is_packed(placement) && add_to_spread(*worker, placement);
        if (is_probe || is_other_rack || is_spread_changed)
        {
            ranking.rank_all();
        }
        return true;
    };
    for_each_run(pending, suspicion, place);
    if (why != placement_obstacle::none && policy.on_unplaced)
    {
        policy.on_unplaced(
            pending, count_runs(pending, suspicion) - placed.size(), why);
    }
    return placed;
}

} // namespace

std::vector<core::run_placement>
place_tasks(pending_stage const& pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail,
            placement_policy const& policy,
            bool may_isolate,
            saved_workers* saved)
{
    if (pending.suspected.empty())
    {
        return place_equal_tasks(pending,
                                 crash_suspicion::none,
                                 candidates,
                                 max_tasks,
                                 tail,
                                 policy,
                                 saved);
    }
    std::vector<core::run_placement> placed;
    for (auto const suspicion : {crash_suspicion::isolated,
                                 crash_suspicion::overdue,
                                 crash_suspicion::spread,
                                 crash_suspicion::none})
    {
        if (suspicion == crash_suspicion::isolated && !may_isolate)
        {
            if (policy.on_unplaced)
            {
                policy.on_unplaced(pending,
                                   count_runs(pending, suspicion),
                                   placement_obstacle::isolation_limit);
            }
            continue;
        }
        auto const more = place_equal_tasks(pending,
                                            suspicion,
                                            candidates,
                                            max_tasks - placed.size(),
                                            tail,
                                            policy,
                                            saved);
        placed.insert(placed.end(), more.begin(), more.end());
    }
    return placed;
}

} // namespace turmericswitch::workflow
