#ifndef TURMERICSWITCH_PLACEMENT_POLICY_ZONE_TRACKER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_ZONE_TRACKER_HPP

#include "core/config/configuration.hpp"
#include "core/types/units.hpp"

#include <map>
#include <optional>

namespace turmericswitch::placement
{

/// Which availability zones are out, since when, and how far a returning one
/// is open again.
class zone_tracker
{
public:
    /// @return True if the state changed.
    bool set(core::time_point now,
             core::zone_id const& zone,
             core::zone_state state);

    /// @return Since when the zone is out, or nothing when it is in service.
    std::optional<core::time_point> out_since(core::zone_id const& zone) const;

    /// @return Share of each worker's capacity that is open to starts.
    double open_share(core::time_point now,
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
