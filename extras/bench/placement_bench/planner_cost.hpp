#ifndef TURMERICSWITCH_EXTRAS_BENCH_PLANNER_COST_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_PLANNER_COST_HPP

#include <cstddef>

namespace turmericswitch::bench
{

/// Processor time and memory that the planner uses at one fleet size.
struct planner_cost
{
    std::size_t workers = 0;
    double starts_per_s = 0;
    double tick_p50_ms = 0;
    double tick_p99_ms = 0;
    /// Processor time of ticks and events per start.
    double us_per_start = 0;
    /// 99th percentile of the ticks that urgent jobs wait until placed.
    double urgent_p99_ticks = 0;
    /// Processor time divided by virtual time; 1 is one core.
    double core_utilization = 0;
    /// Growth of resident memory in MB.
    double memory_mb = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
};

/// Drives a planner in virtual time at ten ticks per second: 20 seconds of
/// warm-up, then 30 measured seconds.
///
/// @param starts_per_s Jobs queued per second.
planner_cost measure_planner_cost(std::size_t workers, double starts_per_s);

} // namespace turmericswitch::bench

#endif
