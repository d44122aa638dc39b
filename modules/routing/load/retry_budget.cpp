#include "routing/load/retry_budget.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

void retry_budget::earn(std::uint32_t percent) noexcept
{
    auto old = m_hundredths.load(std::memory_order_relaxed);
    while (old < capacity &&
           !m_hundredths.compare_exchange_weak(
               old,
               std::min<std::int64_t>(capacity, old + percent),
               std::memory_order_relaxed))
    {
    }
}

bool retry_budget::try_spend() noexcept
{
    return try_spend_above(0);
}

bool retry_budget::try_spend_for_hedge() noexcept
{
    return try_spend_above(capacity / 2);
}

bool retry_budget::try_spend_above(std::int64_t kept) noexcept
{
    auto old = m_hundredths.load(std::memory_order_relaxed);
    while (old >= kept + token)
    {
        if (m_hundredths.compare_exchange_weak(
                old, old - token, std::memory_order_relaxed))
        {
            return true;
        }
    }
    return false;
}

std::uint32_t retry_budget::tokens() const noexcept
{
    return static_cast<std::uint32_t>(
        m_hundredths.load(std::memory_order_relaxed) / token);
}

} // namespace turmericswitch::routing
