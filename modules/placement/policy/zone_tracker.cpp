#include "placement/policy/zone_tracker.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

constexpr std::int64_t ramp_steps = 4;

} // namespace

bool zone_tracker::set(core::time_point now,
                       core::zone_id const& zone,
                       core::zone_state state)
{
    auto& entry = m_zones[zone];
    bool const goes_out = state == core::zone_state::out_of_service;
    if (goes_out == entry.out_since.has_value())
    {
        return false;
    }
    if (goes_out)
    {
        entry.out_since = now;
    }
    else
    {
        entry.out_since.reset();
        entry.returned_at = now;
    }
    return true;
}

std::optional<core::time_point>
zone_tracker::out_since(core::zone_id const& zone) const
{
    auto const found = m_zones.find(zone);
    return found == m_zones.end() ? std::nullopt : found->second.out_since;
}

double zone_tracker::available_share(core::time_point now,
                                     core::zone_id const& zone,
                                     core::duration step) const
{
    auto const found = m_zones.find(zone);
    if (found == m_zones.end())
    {
        return 1;
    }
    if (found->second.out_since)
    {
        return 0;
    }
    if (!found->second.returned_at || step.count() <= 0)
    {
        return 1;
    }
    auto const passed = (now - *found->second.returned_at) / step + 1;
    auto const done = std::clamp<std::int64_t>(passed, 1, ramp_steps);
    return static_cast<double>(done) / static_cast<double>(ramp_steps);
}

} // namespace turmericswitch::placement
