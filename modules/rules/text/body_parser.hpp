#ifndef TURMERICSWITCH_RULES_TEXT_BODY_PARSER_HPP
#define TURMERICSWITCH_RULES_TEXT_BODY_PARSER_HPP

#include "rules/model/rule_set.hpp"
#include "rules/text/token_reader.hpp"

#include <optional>

namespace turmericswitch::rules
{

/// Parses one rule without its requester.
///
/// @param in At the first word of the line; there must be one.
/// @return The rule, or nothing with the error in `in.error()`.
std::optional<rule_body> parse_body(token_reader& in);

} // namespace turmericswitch::rules

#endif
