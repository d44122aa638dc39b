#ifndef TURMERICSWITCH_CONTROL_NODE_WALL_CLOCK_HPP
#define TURMERICSWITCH_CONTROL_NODE_WALL_CLOCK_HPP

#include "core/types/units.hpp"

#include <chrono>

namespace turmericswitch::control
{

/// @return The time of day on this instance.
inline core::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now());
}

} // namespace turmericswitch::control

#endif
