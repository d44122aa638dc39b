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
// First estimate over first sample. It starts high because it falls to the
// quantile sooner than the retry budget would pay for the hedges of too low a
// start.
constexpr std::int64_t initial_factor = 4;
// Keeps the relative steps above the resolution of one microsecond.
constexpr std::int64_t min_micros = 1'000;
constexpr std::int64_t max_micros = 60'000'000;

} // namespace

void latency_quantile::record(core::duration latency) noexcept
{
    std::int64_t none = 0;
    auto const first =
        std::clamp(latency.count() * initial_factor, min_micros, max_micros);
    if (m_micros.compare_exchange_strong(
            none, first, std::memory_order_relaxed))
    {
        return;
    }
    adjust(latency > value());
}

void latency_quantile::record_above() noexcept
{
    adjust(true);
}

core::duration latency_quantile::value() const noexcept
{
    return core::duration(m_micros.load(std::memory_order_relaxed));
}

void latency_quantile::adjust(bool above) noexcept
{
    auto old = m_micros.load(std::memory_order_relaxed);
    auto next = old;
    do
    {
        auto const step =
            above ? old * up_permille / 1000 : -(old * down_permille / 1000);
        next = old == 0 ? 0 : std::clamp(old + step, min_micros, max_micros);
    } while (
        !m_micros.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

} // namespace turmericswitch::routing
