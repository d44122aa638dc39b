#include "telemetry/metrics/thread_stripe.hpp"

#include <atomic>

namespace turmericswitch::telemetry
{

std::size_t stripe_of_this_thread() noexcept
{
    static std::atomic<std::size_t> next = 0;
    thread_local std::size_t const own =
        next.fetch_add(1, std::memory_order_relaxed) % stripe_count;
    return own;
}

} // namespace turmericswitch::telemetry
