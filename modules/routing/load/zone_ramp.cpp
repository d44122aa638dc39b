#include "routing/load/zone_ramp.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

namespace
{

constexpr core::duration step = std::chrono::seconds(5);
constexpr std::int64_t step_percent = 25;

} // namespace

void zone_ramp::returned(core::time_point now) noexcept
{
    // 0 means "never out", so a return at the epoch is stored as 1.
    m_since.store(std::max<std::int64_t>(now.time_since_epoch().count(), 1),
                  std::memory_order_relaxed);
}

std::uint32_t zone_ramp::percent(core::time_point now) const noexcept
{
    auto const since = m_since.load(std::memory_order_relaxed);
    if (since == 0)
    {
        return 100;
    }
    auto const age =
        std::max<std::int64_t>(now.time_since_epoch().count() - since, 0);
    auto const steps = age / step.count() + 1;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(steps * step_percent, 100));
}

} // namespace turmericswitch::routing
