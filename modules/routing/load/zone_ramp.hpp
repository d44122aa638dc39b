#ifndef TURMERICSWITCH_ROUTING_LOAD_ZONE_RAMP_HPP
#define TURMERICSWITCH_ROUTING_LOAD_ZONE_RAMP_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Slow start of an availability zone: the share of normal load it gets after
/// its return to service. Shared by all threads and by successive route
/// tables.
class zone_ramp
{
public:
    /// Records the return to service, which starts the ramp.
    void returned(core::time_point now) noexcept;

    /// @return Percent of normal load: 25 at the return and 25 more every 5
    /// seconds up to 100; 100 if the zone was never out.
    std::uint32_t percent(core::time_point now) const noexcept;

private:
    /// Time of the return in microseconds; 0 if the zone was never out.
    std::atomic<std::int64_t> m_since{0};
};

} // namespace turmericswitch::routing

#endif
