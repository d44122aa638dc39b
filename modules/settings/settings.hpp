#ifndef TURMERICSWITCH_SETTINGS_SETTINGS_HPP
#define TURMERICSWITCH_SETTINGS_SETTINGS_HPP

/// @file
/// Module settings: reads and validates INI files. Each program has an
/// aggregate that its parse function fills from a settings_reader.
///
/// Dependencies: core, inih (in the implementation only).

#include "settings/reader/settings_reader.hpp"

#endif
