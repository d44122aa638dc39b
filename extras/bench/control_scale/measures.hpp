#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_MEASURES_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_MEASURES_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// Messages and bytes of one role, seen from the role. Any thread may add.
struct role_traffic
{
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> failed = 0;
};

/// Collects durations of a measured window. Any thread may add.
class latency_samples
{
public:
    void add(core::duration value);
    /// Forgets what was added so far.
    void clear();
    std::size_t size() const;
    /// @return The quantile in milliseconds, 0 without a sample.
    double quantile_ms(double share) const;

private:
    mutable std::mutex m_mutex;
    std::vector<core::duration> m_values;
};

/// CPU time and memory of one process, from /proc.
struct process_sample
{
    double cpu_seconds = 0;
    double resident_mb = 0;
    double peak_mb = 0;
};

/// @return Zeros for a process that does not exist.
process_sample sample_process(long pid);

} // namespace turmericswitch::bench

#endif
