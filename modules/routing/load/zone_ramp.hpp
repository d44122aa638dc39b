#ifndef TURMERICSWITCH_ROUTING_LOAD_ZONE_RAMP_HPP
#define TURMERICSWITCH_ROUTING_LOAD_ZONE_RAMP_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Share of normal load that an availability zone gets after it returned.
/// Shared by all threads and kept over table changes.
class zone_ramp
{
public:
    /// Starts the steps.
    void returned(core::time_point now) noexcept;

    /// @return 25, 50, 75 or 100, each step after five more seconds.
    std::uint32_t percent(core::time_point now) const noexcept;

private:
    /// Microseconds; 0 when the zone never left.
    std::atomic<std::int64_t> m_since{0};
};

} // namespace turmericswitch::routing

#endif
