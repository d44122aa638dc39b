#ifndef TURMERICSWITCH_PLACEMENT_TYPES_PLANNER_OPTIONS_HPP
#define TURMERICSWITCH_PLACEMENT_TYPES_PLANNER_OPTIONS_HPP

#include "core/hooks/random_source.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace turmericswitch::placement
{

/// A worker on which a job can be placed, as passed to `candidate_choice`.
struct candidate
{
    std::size_t slot = 0;
    /// Score from `worker_scorer::cost`; lower is better. 0 for baselines.
    double cost = 0;
};

/// Selects one of the candidates. They are never empty, and for baselines in
/// ascending order of slots.
///
/// @return Index of the selected candidate.
using candidate_choice =
    std::function<std::size_t(std::vector<candidate> const&)>;

/// Limits and thresholds of the placement policy. docs/placement.md has the
/// measurements behind the defaults.
struct planner_options
{
    /// Reserve by observed use as well as by declaration.
    bool learn_sizes = true;
    /// Predict the slowdown of services, keep batch away from workers where it
    /// is too high, and throttle or evict batch that causes it.
    bool avoid_interference = true;
    /// Spread services over availability zones, racks and workers.
    bool spread_services = true;
    /// Let short tasks finish in a zone that is being evacuated instead of
    /// evicting them at once.
    bool gradual_evacuation = true;
    /// Replaces the choice by lowest cost; used by the baselines.
    candidate_choice choose;
    /// Workers scored per job; 0 scores every feasible worker.
    std::size_t candidates = 12;
    /// Maximum number of placements per tick; bounds the time of a tick.
    std::size_t starts_per_tick = 400;
    /// Queued jobs tried per team until one is placed.
    std::size_t scan_depth = 8;

    /// Predicted slowdown of a service above which no batch job is placed on
    /// its worker; 1 means no slowdown.
    double max_service_slowdown = 1.3;
    /// Measured slowdown above which batch is throttled or evicted.
    double high_slowdown = 1.5;
    /// Measured slowdown below which throttles are lifted.
    double low_slowdown = 1.25;
    /// Batch that has waited this long, or is about to miss its deadline, is
    /// placed without regard to predicted slowdowns and to its earlier failures
    /// on a worker.
    core::duration soft_constraint_timeout = std::chrono::minutes(15);
    /// Services must be fast for this long before a throttle is lifted.
    core::duration throttle_lift_delay = std::chrono::seconds(90);
    /// A worker is held for a job that has waited this long: urgent jobs and
    /// services, batch that needs a large part of a worker, and other batch.
    core::duration urgent_hold_wait = std::chrono::seconds(30);
    core::duration large_hold_wait = std::chrono::minutes(10);
    core::duration small_hold_wait = std::chrono::minutes(60);
    /// Batch still running this long after its zone went out of service is
    /// evicted.
    core::duration zone_drain_time = std::chrono::seconds(120);
    /// Time per step in which a returning zone is opened to new tasks; there
    /// are four steps.
    core::duration zone_ramp_step = std::chrono::seconds(30);
};

/// Baseline: the first worker that fits the declared resources.
planner_options first_fit_options();

/// Baseline: a random worker among all that fit the declared resources.
planner_options random_feasible_options(core::random_source random);

} // namespace turmericswitch::placement

#endif
