#ifndef TURMERICSWITCH_PLACEMENT_MODEL_PROCESSOR_USE_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_PROCESSOR_USE_HPP

#include "core/types/units.hpp"

#include <cstddef>

namespace turmericswitch::placement
{

/// Tracks how much of the reserved processors the whole fleet really uses.
///
/// Services reserve what they declare, which may be ten times what they use.
/// While processors are idle, batch reserves less than its average use, so that
/// more batch tasks fit. The factor returns to 1 when the fleet is busy.
class processor_use
{
public:
    void measured(core::millicores used, core::millicores reserved);

    /// @return Factor on the processors that batch reserves, from 0.5 to 1.
    double batch_factor() const noexcept;

private:
    double m_used = 0;
    double m_reserved = 0;
    std::size_t m_samples = 0;
};

} // namespace turmericswitch::placement

#endif
