#ifndef TURMERICSWITCH_PROCESS_CLOCK_BOOT_CLOCK_HPP
#define TURMERICSWITCH_PROCESS_CLOCK_BOOT_CLOCK_HPP

#include "core/types/units.hpp"

namespace turmericswitch::process
{

/// Reads a monotonic clock that counts the time for which the machine was
/// suspended.
///
/// Permissions that run out and the age of data must be measured with it: the
/// steady clock stands still during a suspension, so that a process would
/// afterwards take old data for current.
///
/// @return Time since the machine was started.
core::time_point boot_time();

} // namespace turmericswitch::process

#endif
