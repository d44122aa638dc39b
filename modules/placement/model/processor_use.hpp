#ifndef TURMERICSWITCH_PLACEMENT_MODEL_PROCESSOR_USE_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_PROCESSOR_USE_HPP

#include "core/types/units.hpp"

#include <cstddef>

namespace turmericswitch::placement
{

/// How much of the reserved processors is really in use over the fleet.
///
/// Services reserve what they declare, which may be ten times what they use.
/// Batch then reserves less than its own average, so that more of it fits and
/// uses the idle part. Once the fleet is busy the factor goes back to 1.
class processor_use
{
public:
    void measured(core::millicores used, core::millicores reserved);

    /// @return From 0.5 to 1.
    double batch_factor() const noexcept;

private:
    double m_used = 0;
    double m_reserved = 0;
    std::size_t m_samples = 0;
};

} // namespace turmericswitch::placement

#endif
