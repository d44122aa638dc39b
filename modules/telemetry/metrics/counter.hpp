#ifndef TURMERICSWITCH_TELEMETRY_METRICS_COUNTER_HPP
#define TURMERICSWITCH_TELEMETRY_METRICS_COUNTER_HPP

#include "telemetry/metrics/thread_stripe.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace turmericswitch::telemetry
{

/// Counts events; it only grows. Any thread may add.
class counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_stripes[stripe_of_this_thread()].value.fetch_add(
            amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const noexcept
    {
        std::uint64_t sum = 0;
        for (auto const& stripe : m_stripes)
        {
            sum += stripe.value.load(std::memory_order_relaxed);
        }
        return sum;
    }

private:
    struct alignas(cache_line_bytes) part
    {
        std::atomic<std::uint64_t> value = 0;
    };

    std::array<part, stripe_count> m_stripes;
};

} // namespace turmericswitch::telemetry

#endif
