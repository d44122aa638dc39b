#include "workflow/dispatch/move_search.hpp"

#include "workflow/dispatch/task_placement.hpp"
#include "workflow/dispatch/worker_score.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Workers for which the search checks that the moved runs have room elsewhere.
constexpr std::size_t max_checked_workers = 4;

/// @return A set that makes room on the worker, or `nullopt`.
std::optional<move_set> make_room(candidate_worker const& worker,
                                  core::resources const& need,
                                  movable_hook const& movable)
{
    move_set result;
    result.worker = worker.worker;
    auto free = worker.free;
    if (core::fits_in(need, free))
    {
        return result;
    }
    auto runs = movable(worker);
    std::stable_sort(runs.begin(),
                     runs.end(),
                     [](movable_run const& a, movable_run const& b)
                     { return a.cost < b.cost; });
    for (auto& each : runs)
    {
        if (core::fits_in(need, free))
        {
            break;
        }
        free += reserved_by(*each.pending.description);
        result.runs.push_back(std::move(each));
    }
    if (!core::fits_in(need, free))
    {
        return std::nullopt;
    }
    // A later, larger run may have made earlier ones unnecessary.
    for (auto each = result.runs.end(); each != result.runs.begin();)
    {
        --each;
        auto const without = free - reserved_by(*each->pending.description);
        if (core::fits_in(need, without))
        {
            free = without;
            each = result.runs.erase(each);
        }
    }
    for (auto const& each : result.runs)
    {
        result.cost += each.cost;
    }
    return result;
}

bool have_room_elsewhere(move_set const& moves,
                         std::vector<candidate_worker*> const& candidates,
                         tail_hook const& tail,
                         placement_policy const& policy)
{
    std::vector<candidate_worker> others;
    others.reserve(candidates.size());
    for (auto const* const each : candidates)
    {
        if (each->worker != moves.worker && !each->is_trial)
        {
            others.push_back(*each);
        }
    }
    std::vector<candidate_worker*> targets;
    targets.reserve(others.size());
    for (auto& each : others)
    {
        targets.push_back(&each);
    }
    return std::all_of(
        moves.runs.begin(),
        moves.runs.end(),
        [&](movable_run const& each) {
            return !place_tasks(each.pending, targets, 1, tail, policy).empty();
        });
}

} // namespace

std::optional<move_set>
find_cheapest_moves(pending_stage const& pending,
                    std::vector<candidate_worker*> const& candidates,
                    movable_hook const& movable,
                    tail_hook const& tail,
                    placement_policy const& policy)
{
    auto const need = reserved_by(*pending.description);
    std::vector<move_set> sets;
    for (auto const* const each : candidates)
    {
        if (each->is_trial || !is_allowed(*each, pending) ||
            !core::fits_in(need, each->capacity))
        {
            continue;
        }
        if (auto set = make_room(*each, need, movable))
        {
            sets.push_back(std::move(*set));
        }
    }
    std::stable_sort(sets.begin(),
                     sets.end(),
                     [](move_set const& a, move_set const& b)
                     { return a.cost < b.cost; });
    sets.resize(std::min(sets.size(), max_checked_workers));
    auto const found = std::find_if(
        sets.begin(),
        sets.end(),
        [&](move_set const& each)
        { return have_room_elsewhere(each, candidates, tail, policy); });
    return found == sets.end() ? std::nullopt
                               : std::optional(std::move(*found));
}

} // namespace turmericswitch::workflow
