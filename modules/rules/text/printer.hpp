#ifndef TURMERICSWITCH_RULES_TEXT_PRINTER_HPP
#define TURMERICSWITCH_RULES_TEXT_PRINTER_HPP

#include "rules/model/rule_set.hpp"

#include <string>

namespace turmericswitch::rules
{

/// @return A file that parses to the same rule set, with all options written
/// out and comments and requesters kept.
std::string print(rule_set const& rules);

/// @return One rule without its trailing comment.
std::string print(rule_body const& body);

} // namespace turmericswitch::rules

#endif
