#ifndef TURMERICSWITCH_EXTRAS_BENCH_SCALE_RUN_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_SCALE_RUN_HPP

#include <cstddef>

namespace turmericswitch::bench
{

/// Processor cost of ticks at one fleet size.
struct scale_result
{
    std::size_t workers = 0;
    double starts = 0;
    double tick_p50_ms = 0;
    double tick_p99_ms = 0;
    /// Processor time of ticks and events per start.
    double us_per_start = 0;
    /// Ticks that urgent jobs wait until they are placed, p99.
    double urgent_p99_ticks = 0;
    /// Processor time as a share of the virtual time, 1 is one core.
    double core_share = 0;
    /// Growth of resident memory.
    double memory_mb = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
};

/// Runs 20 virtual seconds after a fill, at ten ticks per second.
///
/// @param starts_per_s Jobs queued per second.
scale_result run_scale(std::size_t workers, double starts_per_s);

} // namespace turmericswitch::bench

#endif
