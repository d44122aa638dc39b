#include "routing/load/latency_quantile.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

namespace
{

// The quantile is 1 - down / (up + down) = 0.95, which leaves half of the
// default retry budget of 10% for failures.
constexpr std::int64_t up_permille = 95;
constexpr std::int64_t down_permille = 5;
// Quantile over first sample; the estimate falls faster than hedges would be
// paid for if it began too low.
constexpr std::int64_t first_factor = 4;
// Keeps the relative steps above the resolution of a microsecond.
constexpr std::int64_t lowest = 1'000;
constexpr std::int64_t highest = 60'000'000;

} // namespace

void latency_quantile::record(core::duration latency) noexcept
{
    std::int64_t none = 0;
    auto const first =
        std::clamp(latency.count() * first_factor, lowest, highest);
    if (m_micros.compare_exchange_strong(
            none, first, std::memory_order_relaxed))
    {
        return;
    }
    move(latency > value());
}

void latency_quantile::record_above() noexcept
{
    move(true);
}

core::duration latency_quantile::value() const noexcept
{
    return core::duration(m_micros.load(std::memory_order_relaxed));
}

void latency_quantile::move(bool above) noexcept
{
    auto old = m_micros.load(std::memory_order_relaxed);
    auto next = old;
    do
    {
        auto const step =
            above ? old * up_permille / 1000 : -(old * down_permille / 1000);
        next = old == 0 ? 0 : std::clamp(old + step, lowest, highest);
    } while (
        !m_micros.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

} // namespace turmericswitch::routing
