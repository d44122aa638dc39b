#include "placement/policy/urgent_room.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// What was seen in this period and the one before it counts.
constexpr core::duration period = std::chrono::minutes(20);
constexpr std::size_t fewest_workers = 3;
constexpr std::size_t most_workers = 8;
// On a small fleet a fixed number of workers would close most of it to batch.
constexpr std::size_t workers_per_room = 3;

} // namespace

void urgent_room::started(core::resources const& need)
{
    m_need = core::component_max(m_need, need);
    ++m_this_tick;
}

void urgent_room::age(core::time_point now, std::size_t open_workers)
{
    m_open_workers = open_workers;
    m_most = std::max(m_most, m_this_tick);
    m_this_tick = 0;
    if (now - m_period_start < period)
    {
        return;
    }
    m_period_start = now;
    m_earlier_need = m_need;
    m_earlier_most = m_most;
    m_need = {};
    m_most = 0;
}

core::resources urgent_room::need() const noexcept
{
    return core::component_max(m_need, m_earlier_need);
}

std::size_t urgent_room::workers() const noexcept
{
    auto const most = std::max(m_most, m_earlier_most);
    if (most == 0)
    {
        return 0;
    }
    auto const share =
        std::max<std::size_t>(1, m_open_workers / workers_per_room);
    return std::min(share, std::clamp(most, fewest_workers, most_workers));
}

} // namespace turmericswitch::placement
