#include "workflow/dispatch/packing.hpp"

#include "workflow/dispatch/worker_score.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Larger than the value of the fit: such a worker is used if no other fits.
constexpr double strained_worker_penalty = 2.0;
constexpr double crowded_domain_penalty = 1.5;

/// More than the usual difference of the fit, and less than the bonus for
/// serving tasks of one image.
constexpr double long_running_slot_penalty = 0.5;
/// Short tasks soon return the capacity, so an even load matters more.
constexpr double short_slot_penalty = 0.2;

/// A task is wide if it needs at least 1 / `wide_fraction` of a worker.
constexpr std::int64_t wide_fraction = 4;

/// At most 1 / `held_fraction` of the workers are kept for wide tasks, but
/// always one may be.
constexpr std::size_t held_fraction = 8;

/// @return The share that is left of the scarcest resource.
double free_share_after(candidate_worker const& worker,
                        core::resources const& need)
{
    auto const left = worker.free - need;
    double share = 1;
    auto const limit = [&share](auto of, auto capacity)
    {
        if (capacity.value() > 0)
        {
            share = std::min(share,
                             static_cast<double>(of.value()) /
                                 static_cast<double>(capacity.value()));
        }
    };
    limit(left.cpu, worker.capacity.cpu);
    limit(left.memory, worker.capacity.memory);
    return share;
}

bool is_strained(candidate_worker const& worker, tail_hook const& tail)
{
    return worker.serving > 0 &&
           (worker.closed_to_best_effort ||
            tail(worker.worker, worker.planned) > max_tail);
}

template <typename Domains, typename Id>
bool is_crowded(Domains const& domains, Id const& id, std::uint32_t tasks)
{
    auto const known = domains.find(id);
    return known != domains.end() && known->second * 2 >= tasks;
}

bool is_wide(core::resources const& need, core::resources const& capacity)
{
    return need.cpu.value() * wide_fraction >= capacity.cpu.value() ||
           need.memory.value() * wide_fraction >= capacity.memory.value();
}

/// @return Number of the stage's tasks that fit after all finite runs there
/// have
///         ended; 0 if the worker can't be kept for them.
std::int64_t holdable_tasks(candidate_worker const& worker,
                            pending_stage const& pending)
{
    auto const need = reserved_by(*pending.description);
    if (worker.held || worker.is_trial || !is_wide(need, worker.capacity) ||
        core::fits_in(need, worker.free) || !is_allowed(worker, pending))
    {
        return 0;
    }
    return slots(need, worker.capacity - worker.long_running);
}

} // namespace

bool is_packed(stage_placement const& placement)
{
    auto const& behaviour = placement.pending.description->behaviour;
    return placement.policy.wide != nullptr && behaviour.long_running &&
           !behaviour.uses_spare_cpu;
}

double packing_value(candidate_worker const& worker,
                     stage_placement const& placement,
                     tail_hook const& tail)
{
    auto const& stage = *placement.pending.description;
    auto value = -free_share_after(worker, reserved_by(stage));
    value -= is_strained(worker, tail) ? strained_worker_penalty : 0.0;
    if (stage.tasks > 1 && !stage.constraints.prefers_one_rack)
    {
        auto const& [racks, zones] = placement.spread;
        value -= is_crowded(racks, worker.rack, stage.tasks)
                     ? crowded_domain_penalty
                     : 0.0;
        value -= is_crowded(zones, worker.zone, stage.tasks)
                     ? crowded_domain_penalty
                     : 0.0;
    }
    return value;
}

double wide_slot_penalty(candidate_worker const& worker,
                         stage_placement const& placement)
{
    auto const need = reserved_by(*placement.pending.description);
    auto const& wide = placement.wide;
    if (need.cpu >= wide.cpu ||
        slots(wide, worker.free) == slots(wide, worker.free - need))
    {
        return 0;
    }
    return is_packed(placement) ? long_running_slot_penalty
                                : short_slot_penalty;
}

spread_counts count_spread(pending_stage const& pending,
                           std::vector<candidate_worker*> const& candidates)
{
    spread_counts spread;
    for (auto const* const each : candidates)
    {
        auto const count = each->per_stage.find(pending.stage);
        if (count != each->per_stage.end())
        {
            spread.racks[each->rack] += count->second;
            spread.zones[each->zone] += count->second;
        }
    }
    return spread;
}

bool add_to_spread(candidate_worker const& worker, stage_placement& placement)
{
    auto const tasks = placement.pending.description->tasks;
    auto& racks = placement.spread.racks;
    auto& zones = placement.spread.zones;
    auto const count_crowded = [&]
    {
        return int{is_crowded(racks, worker.rack, tasks)} +
               int{is_crowded(zones, worker.zone, tasks)};
    };
    auto const before = count_crowded();
    ++racks[worker.rack];
    ++zones[worker.zone];
    return count_crowded() != before;
}

std::size_t most_held(std::size_t workers) noexcept
{
    return std::max<std::size_t>(workers / held_fraction, 1);
}

void hold_workers(pending_stage const& pending,
                  std::size_t unplaced,
                  std::vector<candidate_worker*> const& candidates,
                  std::size_t& holdable)
{
    if (pending.description->behaviour.uses_spare_cpu)
    {
        return;
    }
    auto const need = reserved_by(*pending.description);
    while (unplaced > 0 && holdable > 0)
    {
        candidate_worker* best = nullptr;
        std::int64_t tasks = 0;
        for (auto* const each : candidates)
        {
            // The worker that lacks least has room first.
            if (best != nullptr && best->free.cpu >= each->free.cpu)
            {
                continue;
            }
            if (auto const count = holdable_tasks(*each, pending); count > 0)
            {
                best = each;
                tasks = count;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        best->held = {pending.stage, {}, 0};
        --holdable;
        for (; tasks > 0 && unplaced > 0; --tasks, --unplaced)
        {
            best->held->need += need;
        }
    }
}

void hold_kept_workers(placement_policy const& policy,
                       std::vector<candidate_worker*> const& candidates)
{
    for (auto const& [worker, held] : policy.kept)
    {
        auto const found =
            std::find_if(candidates.begin(),
                         candidates.end(),
                         [&id = worker](candidate_worker const* each)
                         { return each->worker == id; });
        if (found != candidates.end())
        {
            (*found)->held = held;
        }
    }
}

void release_workers(std::vector<candidate_worker*> const& candidates)
{
    for (auto* const each : candidates)
    {
        each->held.reset();
    }
}

} // namespace turmericswitch::workflow
