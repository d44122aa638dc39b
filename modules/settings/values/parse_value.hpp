#ifndef TURMERICSWITCH_SETTINGS_VALUES_PARSE_VALUE_HPP
#define TURMERICSWITCH_SETTINGS_VALUES_PARSE_VALUE_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericswitch::settings
{

/// @return The decimal number, or nothing if it is malformed or overflows.
std::optional<std::int64_t> parse_integer(std::string_view text);

/// @param text A whole number with the unit ms, s, min or h.
/// @return Nothing for a bad number or unit, or on overflow.
std::optional<core::duration> parse_duration(std::string_view text);

/// @param text A whole number with the unit B, KiB, MiB, GiB or TiB.
/// @return Nothing for a bad number or unit, or on overflow.
std::optional<core::byte_count> parse_bytes(std::string_view text);

/// @param text `1.2.3.4:80` or `[::1]:80`; names are not resolved.
/// @return Nothing unless the address is numeric and the port at most 65535.
std::optional<core::endpoint> parse_endpoint(std::string_view text);

/// @param text Endpoints separated by commas; may be empty.
/// @return Nothing if one of them is malformed.
std::optional<std::vector<core::endpoint>>
parse_endpoints(std::string_view text);

} // namespace turmericswitch::settings

#endif
