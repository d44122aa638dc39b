#include "workflow/dispatch/worker_score.hpp"

#include "workflow/dispatch/packing.hpp"
#include "workflow/dispatch/worker_speed_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace turmericswitch::workflow
{

namespace
{

// Penalties and bonuses in the score of a worker. Their unit is the share of
// the worker's CPU that is free.

/// Tasks in another rack than their data or the rest of their stage take half
/// as long again or more.
constexpr double other_rack_penalty = 0.6;
constexpr double failed_before_penalty = 0.5;
/// For serving and best-effort tasks on one worker, which interfere.
constexpr double colocation_penalty = 0.4;
/// Each further serving image on a worker excludes the best-effort images that
/// interfere with it, about a quarter of them. This matters more than an even
/// load.
constexpr double other_image_penalty = 0.5;
constexpr double same_image_bonus = 0.8;

/// Outweighs all other parts of a score, so a quarantined worker comes last.
constexpr double trial_penalty = 1000;
/// Larger than the sum of the others: a worker with another suspect is used
/// only if there is no other one.
constexpr double other_suspect_penalty = 4.0;
/// For each run that the crash of an isolated task would end.
constexpr double endangered_run_penalty = 1.0;

/// Smaller relative rises are within the error of the model.
constexpr double min_tail_rise = 1.1;

/// Best-effort tasks are placed where at least this part of the CPU they
/// request is spare; with less their progress is not worth their memory.
constexpr std::int64_t min_spare_percent = 50;

/// @return Predicted worst tail on the worker with one more task of the stage.
double tail_after(candidate_worker const& worker,
                  core::stage_description const& stage,
                  tail_hook const& tail)
{
    auto added = worker.planned;
    added[stage.behaviour.image] += stage.need.cpu;
    return tail(worker.worker, added);
}

bool is_at_limit(candidate_worker const& worker, pending_stage const& pending)
{
    auto const max = pending.description->constraints.max_per_worker;
    if (max == 0)
    {
        return false;
    }
    auto const count = worker.per_stage.find(pending.stage);
    return count != worker.per_stage.end() && count->second >= max;
}

/// @return What apart from capacity keeps a task of the stage from the worker.
placement_obstacle find_other_obstacle(candidate_worker const& worker,
                                       pending_stage const& pending)
{
    auto const& stage = *pending.description;
    if (worker.service != pending.service)
    {
        return placement_obstacle::no_worker;
    }
    if (!has_label(worker.labels, stage.constraints.required_label))
    {
        return placement_obstacle::label;
    }
    if (is_at_limit(worker, pending))
    {
        return placement_obstacle::max_per_worker;
    }
    auto const& behaviour = stage.behaviour;
    if (behaviour.uses_spare_cpu && worker.spare < min_spare_cpu(stage))
    {
        return placement_obstacle::no_spare_cpu;
    }
    if (worker.is_trial && (worker.trials_left == 0 || !behaviour.long_running))
    {
        return placement_obstacle::quarantine;
    }
    if (behaviour.uses_spare_cpu && worker.closed_to_best_effort)
    {
        return placement_obstacle::serving_over_target;
    }
    if (worker.is_isolated_for_other(pending.stage.workflow))
    {
        return placement_obstacle::isolated_worker;
    }
    return pending.only_on.value_or(worker.worker) == worker.worker
               ? placement_obstacle::none
               : placement_obstacle::unresolved_start;
}

} // namespace

bool has_label(std::vector<std::string> const& labels, std::string const& label)
{
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

core::millicores min_spare_cpu(core::stage_description const& stage)
{
    constexpr std::int64_t percent = 100;
    return stage.behaviour.uses_spare_cpu
               ? core::millicores((stage.need.cpu.value() * min_spare_percent +
                                   percent - 1) /
                                  percent)
               : core::millicores(0);
}

placement_obstacle find_obstacle(candidate_worker const& worker,
                                 pending_stage const& pending)
{
    auto const need = reserved_by(*pending.description);
    // The cheap comparison comes first: in a backlog most workers are full.
    if (!core::fits_in(need, worker.free))
    {
        return worker.service == pending.service
                   ? placement_obstacle::no_room
                   : placement_obstacle::no_worker;
    }
    auto const found = find_other_obstacle(worker, pending);
    if (found != placement_obstacle::none)
    {
        return found;
    }
    return worker.is_held_for_other(pending.stage, pending.priority, need)
               ? placement_obstacle::kept_room
               : placement_obstacle::none;
}

bool fits(candidate_worker const& worker, pending_stage const& pending)
{
    return find_obstacle(worker, pending) == placement_obstacle::none;
}

bool is_allowed(candidate_worker const& worker, pending_stage const& pending)
{
    return find_other_obstacle(worker, pending) == placement_obstacle::none;
}

bool raises_tail(candidate_worker const& worker,
                 core::stage_description const& stage,
                 tail_hook const& tail)
{
    if (!stage.behaviour.uses_spare_cpu || worker.serving == 0)
    {
        return false;
    }
    auto const before = tail(worker.worker, worker.planned);
    auto const after = tail_after(worker, stage, tail);
    return after > max_tail && after > before * min_tail_rise;
}

double score(candidate_worker const& worker,
             stage_placement const& placement,
             tail_hook const& tail)
{
    auto const& pending = placement.pending;
    auto const& stage = *pending.description;
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(worker.capacity.cpu.value(), 1));
    bool const best_effort = stage.behaviour.uses_spare_cpu;
    auto const available = best_effort ? worker.spare : worker.free.cpu;
    double value =
        is_packed(placement)
            ? packing_value(worker, placement, tail)
            : static_cast<double>(available.value() - stage.need.cpu.value()) /
                  capacity;
    value -= wide_slot_penalty(worker, placement);
    value += speed_value(worker, placement);
    auto const& constraints = stage.constraints;
    if (!constraints.data_rack.value().empty() &&
        constraints.data_rack != worker.rack)
    {
        value -= other_rack_penalty;
    }
    if (constraints.prefers_one_rack && !placement.racks.empty() &&
        !placement.racks.contains(worker.rack))
    {
        value -= other_rack_penalty;
    }
    if (worker.is_trial)
    {
        value -= trial_penalty;
    }
    if (pending.failed_on.contains(worker.worker))
    {
        value -= failed_before_penalty;
    }
    auto const& workflow = pending.stage.workflow;
    if (placement.suspicion != crash_suspicion::none &&
        worker.suspects.size() > worker.suspects.count(workflow))
    {
        value -= other_suspect_penalty;
    }
    if (placement.suspicion == crash_suspicion::isolated)
    {
        value -= endangered_run_penalty * worker.runs;
    }
    if (best_effort)
    {
        value -= colocation_penalty * tail_after(worker, stage, tail);
    }
    if (stage.behaviour.target_latency > core::duration{})
    {
        value -= worker.best_effort > 0 ? colocation_penalty : 0.0;
        auto const same = worker.serving_images.count(stage.behaviour.image);
        auto const others = worker.serving_images.size() - same;
        value += same_image_bonus * static_cast<double>(same);
        value -= other_image_penalty * static_cast<double>(others);
    }
    return value;
}

} // namespace turmericswitch::workflow
