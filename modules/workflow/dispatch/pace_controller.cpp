#include "workflow/dispatch/pace_controller.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Part of the target above which spare tasks are slowed: reports are half a
/// second old, and the tail may go on rising for that long.
constexpr std::int64_t slow_above_percent = 80;

/// Part of the target below which they are sped up again.
constexpr std::int64_t speed_up_below_percent = 60;

constexpr std::uint32_t full_share = 100;
constexpr std::uint32_t growth = 15;

/// A smaller share does hardly any work and still disturbs; it becomes 0.
constexpr std::uint32_t smallest_share = 10;

} // namespace

std::uint32_t pace_controller::update(core::worker_id const& worker,
                                      sharing_sample const& sample)
{
    auto& share = m_shares.try_emplace(worker, full_share).first->second;
    if (sample.worst_tail_percent > slow_above_percent)
    {
        share = share / 2 < smallest_share ? 0 : share / 2;
    }
    else if (sample.worst_tail_percent < speed_up_below_percent)
    {
        share = std::min(share + growth, full_share);
    }
    return share;
}

std::uint32_t pace_controller::share(core::worker_id const& worker) const
{
    auto const known = m_shares.find(worker);
    return known == m_shares.end() ? full_share : known->second;
}

void pace_controller::forget(core::worker_id const& worker)
{
    m_shares.erase(worker);
}

} // namespace turmericswitch::workflow
