#ifndef TURMERICSWITCH_NAMING_NAMING_HPP
#define TURMERICSWITCH_NAMING_NAMING_HPP

/// @file
/// Module naming: resolves the operators' three naming schemes to one
/// canonical name per instance, availability zone and service.
///
/// Dependencies: core.

#include "naming/table/name_table.hpp"

#endif
