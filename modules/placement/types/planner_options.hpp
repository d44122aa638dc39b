#ifndef TURMERICSWITCH_PLACEMENT_TYPES_PLANNER_OPTIONS_HPP
#define TURMERICSWITCH_PLACEMENT_TYPES_PLANNER_OPTIONS_HPP

#include "core/hooks/random_source.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace turmericswitch::placement
{

/// A worker that can hold a task, as shown to a choice hook.
struct candidate
{
    std::size_t slot = 0;
    /// Predicted harm; lower is better.
    double cost = 0;
};

/// Picks one of the candidates (never empty, in ascending slot order for
/// baselines). Returns its position.
using candidate_choice =
    std::function<std::size_t(std::vector<candidate> const&)>;

/// Limits and thresholds of the policy. The defaults are those measured in
/// docs/placement.md.
struct planner_options
{
    /// Reserve by observation as well as by declaration.
    bool learn_sizes = true;
    /// Predict slowdowns, gate batch by them and run the response ladder.
    bool avoid_interference = true;
    /// Spread services over availability zones, racks and workers.
    bool spread_services = true;
    /// Let short tasks finish in a leaving zone instead of evicting at once.
    bool paced_zone_moves = true;
    /// Replaces the choice by cost; used by the baselines.
    candidate_choice choose;
    /// Workers weighed per start; 0 weighs every feasible worker.
    std::size_t candidates = 12;
    /// Starts per tick at most, so that one tick stays short.
    std::size_t starts_per_tick = 400;
    /// Queued jobs looked at per team, class and tick.
    std::size_t scan_depth = 8;

    /// Predicted slowdown of a service above which batch goes elsewhere.
    double max_service_slowdown = 1.3;
    /// Measured slowdown at which the ladder acts.
    double high_slowdown = 1.5;
    /// Measured slowdown below which throttles are lifted.
    double low_slowdown = 1.25;
    /// A batch job that waited this long ignores the gate.
    core::duration gate_patience = std::chrono::minutes(15);
    /// A throttled worker stays so at least this long.
    core::duration throttle_hold = std::chrono::seconds(90);
    /// A job passed over for this long gets a worker held for it: urgent jobs
    /// and services, batch that needs a large part of a worker, other batch.
    core::duration urgent_hold_wait = std::chrono::seconds(30);
    core::duration large_hold_wait = std::chrono::minutes(10);
    core::duration small_hold_wait = std::chrono::minutes(60);
    /// Batch still in a leaving zone after this time is evicted.
    core::duration zone_drain = std::chrono::seconds(120);
    /// Time per step when a zone returns; there are four steps.
    core::duration ramp_step = std::chrono::seconds(30);
};

/// First fit by declared size: the first worker that holds the declaration.
planner_options first_fit_options();

/// A random worker among all that hold the declaration.
planner_options random_feasible_options(core::random_source random);

} // namespace turmericswitch::placement

#endif
