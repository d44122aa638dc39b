#ifndef TURMERICSWITCH_PLACEMENT_POLICY_ZONE_TRACKER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_ZONE_TRACKER_HPP

#include "core/config/configuration.hpp"
#include "core/types/units.hpp"

#include <map>
#include <optional>

namespace turmericswitch::placement
{

/// Tracks which availability zones are out of service, since when, and how much
/// of a returning zone's capacity new tasks may use.
class zone_tracker
{
public:
    /// @return True if the state changed.
    bool set(core::time_point now,
             core::zone_id const& zone,
             core::zone_state state);

    /// @return When the zone went out of service, or nothing if it is in
    /// service.
    std::optional<core::time_point> out_since(core::zone_id const& zone) const;

    /// @param step Time per step in which a returning zone is opened.
    /// @return Share of each worker's capacity that new tasks may use.
    double available_share(core::time_point now,
                           core::zone_id const& zone,
                           core::duration step) const;

private:
    struct record
    {
        std::optional<core::time_point> out_since;
        std::optional<core::time_point> returned_at;
    };

    std::map<core::zone_id, record> m_zones;
};

} // namespace turmericswitch::placement

#endif
