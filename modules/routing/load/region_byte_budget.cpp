#include "routing/load/region_byte_budget.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

namespace
{

// Microseconds: a burst may use one second of the rate at once.
constexpr std::int64_t burst = 1'000'000;

std::int64_t cost(core::byte_count size, core::byte_count per_second) noexcept
{
    auto const rate = std::max<std::int64_t>(per_second.value(), 1);
    return static_cast<std::int64_t>(static_cast<double>(size.value()) * 1e6 /
                                     static_cast<double>(rate));
}

} // namespace

bool region_byte_budget::try_take(core::time_point now,
                                  core::byte_count size,
                                  core::byte_count per_second) noexcept
{
    if (per_second.value() <= 0)
    {
        return false;
    }
    auto const at = now.time_since_epoch().count();
    auto free_at = m_free_at.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do
    {
        if (free_at > at + burst)
        {
            return false;
        }
        next = std::max(free_at, at) + cost(size, per_second);
    } while (!m_free_at.compare_exchange_weak(
        free_at, next, std::memory_order_relaxed));
    m_total.fetch_add(size.value(), std::memory_order_relaxed);
    return true;
}

void region_byte_budget::charge(core::time_point now,
                                core::byte_count size,
                                core::byte_count per_second) noexcept
{
    auto const at = now.time_since_epoch().count();
    auto free_at = m_free_at.load(std::memory_order_relaxed);
    while (!m_free_at.compare_exchange_weak(free_at,
                                            std::max(free_at, at) +
                                                cost(size, per_second),
                                            std::memory_order_relaxed))
    {
    }
    m_total.fetch_add(size.value(), std::memory_order_relaxed);
}

void region_byte_budget::refund(core::byte_count size,
                                core::byte_count per_second) noexcept
{
    m_free_at.fetch_sub(cost(size, per_second), std::memory_order_relaxed);
    m_total.fetch_sub(size.value(), std::memory_order_relaxed);
}

core::byte_count region_byte_budget::total() const noexcept
{
    return core::byte_count(m_total.load(std::memory_order_relaxed));
}

} // namespace turmericswitch::routing
