#include "workflow/dispatch/worker_speed_choice.hpp"

#include <algorithm>
#include <vector>

namespace turmericswitch::workflow
{

namespace
{

/// Larger than the sum of the other parts of a score except those for suspects
/// and trials.
constexpr double slow_worker_penalty = 3.0;

/// For tasks that take twice the average time.
constexpr double time_weight = 1.0;

/// A task waits only if that ends it sooner by more than the usual error of the
/// estimates.
constexpr double min_gain = 1.1;

/// A run that takes longer than this multiple of its expected time may hang, so
/// its end is not waited for.
constexpr double max_overrun = 1.5;

/// Tasks that may wait for each running one; more are not the last of a stage.
constexpr std::size_t max_waiting_per_run = 2;

/// @return When tasks of the stage that wait for the workers of its running
///         ones would end, in ascending order, up to a limit.
std::vector<double>
ends_on_busy_workers(std::vector<running_task_time> const& running,
                     stage_placement const& placement,
                     double limit)
{
    std::vector<double> ends;
    for (auto const& [worker, elapsed] : running)
    {
        auto const time =
            placement.policy
                .speed(worker, placement.pending.description->behaviour.image)
                .time_factor();
        if (elapsed >= time * max_overrun)
        {
            continue;
        }
        auto end = std::max(time - elapsed, 0.0) + time;
        for (std::size_t i = 0; i < max_waiting_per_run && end < limit; ++i)
        {
            ends.push_back(end);
            end += time;
        }
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

} // namespace

double speed_value(candidate_worker const& worker,
                   stage_placement const& placement)
{
    auto const& behaviour = placement.pending.description->behaviour;
    if (!placement.policy.speed)
    {
        return 0;
    }
    auto const speed = placement.policy.speed(worker.worker, behaviour.image);
    auto value = speed.is_slow() ? -slow_worker_penalty : 0.0;
    if (!behaviour.long_running)
    {
        value -= time_weight * (speed.time_factor() - 1);
    }
    return value;
}

bool waits_for_faster_worker(candidate_worker const& best,
                             stage_placement const& placement,
                             std::vector<core::run_placement> const& placed)
{
    auto const& policy = placement.policy;
    auto const& pending = placement.pending;
    auto const& behaviour = pending.description->behaviour;
    if (!policy.speed || !policy.running || behaviour.long_running ||
        behaviour.gang)
    {
        return false;
    }
    // The least time that the worker is likely to need.
    auto const now_end =
        policy.speed(best.worker, behaviour.image).least_time_factor();
    if (now_end <= min_gain)
    {
        return false;
    }
    auto const unplaced = pending.runs.size() - placed.size();
    auto running = policy.running(pending.stage);
    for (auto const& each : placed)
    {
        running.push_back({each.worker, 0});
    }
    if (unplaced > running.size() * max_waiting_per_run)
    {
        return false;
    }
    auto const ends = ends_on_busy_workers(running, placement, now_end);
    return ends.size() >= unplaced && ends[unplaced - 1] * min_gain < now_end;
}

} // namespace turmericswitch::workflow
