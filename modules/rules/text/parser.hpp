#ifndef TURMERICSWITCH_RULES_TEXT_PARSER_HPP
#define TURMERICSWITCH_RULES_TEXT_PARSER_HPP

#include "rules/model/rule_set.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::rules
{

/// A rules file for 660 workers with three names each is below 200 kB.
constexpr std::size_t max_file_bytes = 4U * 1024U * 1024U;
constexpr std::size_t max_line_bytes = 4096;
constexpr std::size_t max_lines = 50'000;
/// Further errors are dropped, so that a file that is not a rules file does
/// not cause a huge response.
constexpr std::size_t max_errors = 100;

/// Parses a rules file.
///
/// @param text Content of the file.
/// @param file Name of the file, for messages.
/// @param errors Receives every error, up to `max_errors`, in line order.
/// @return The rules, or nothing if there is any error; last_reason() then
/// has the first one.
std::optional<rule_set> parse(std::string_view text,
                              std::string const& file,
                              std::vector<rule_error>& errors);

} // namespace turmericswitch::rules

#endif
