#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_MEASUREMENTS_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_MEASUREMENTS_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// Messages and bytes of one role, counted at the sender of the requests.
/// Thread-safe.
struct role_traffic
{
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> sent_bytes = 0;
    std::atomic<std::uint64_t> received_bytes = 0;
    std::atomic<std::uint64_t> failed = 0;
};

/// Collects durations during a measurement window. Thread-safe.
class latency_samples
{
public:
    void add(core::duration value);
    /// Removes all samples.
    void clear();
    std::size_t size() const;
    /// @param fraction From 0 to 1.
    /// @return The quantile in milliseconds, 0 without a sample.
    double quantile_ms(double fraction) const;

private:
    mutable std::mutex m_mutex;
    std::vector<core::duration> m_values;
};

/// CPU time and memory of one process, from /proc.
struct process_sample
{
    double cpu_seconds = 0;
    double resident_mib = 0;
    double peak_mib = 0;
};

/// @return Zeros for a process that does not exist.
process_sample sample_process(long pid);

} // namespace turmericswitch::bench

#endif
