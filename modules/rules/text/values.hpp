#ifndef TURMERICSWITCH_RULES_TEXT_VALUES_HPP
#define TURMERICSWITCH_RULES_TEXT_VALUES_HPP

#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::rules
{

/// Names and values of the rules file with their units. Each `parse_` function
/// returns nothing for a value that is malformed or out of range; each
/// `format_` function returns a text that parses to the same value.

constexpr std::size_t max_name_bytes = 128;

/// @return True for 1 to `max_name_bytes` letters, digits and `._:-`.
bool is_name(std::string_view text);

std::optional<std::uint32_t>
parse_number(std::string_view text, std::uint32_t low, std::uint32_t high);

/// Units `us`, `ms`, `s`, `min`, at most one day.
std::optional<core::duration> parse_duration(std::string_view text);
std::string format_duration(core::duration value);

/// Units `B`, `kB`, `MB`, `GB`, `KiB`, `MiB`, `GiB`, `TiB`.
std::optional<core::byte_count> parse_bytes(std::string_view text);
std::string format_bytes(core::byte_count value);

/// Units `cores` and `m` (millicores).
std::optional<core::millicores> parse_cpu(std::string_view text);
std::string format_cpu(core::millicores value);

/// `HH:MM` as minutes after midnight UTC.
std::optional<std::uint16_t> parse_time_of_day(std::string_view text);
std::string format_time_of_day(std::uint16_t value);

/// @return True if `text` is well-formed UTF-8; else `bad_at` is the offset
/// of the first malformed sequence.
bool is_utf8(std::string_view text, std::size_t& bad_at);

} // namespace turmericswitch::rules

#endif
