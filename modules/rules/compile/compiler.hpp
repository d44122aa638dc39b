#ifndef TURMERICSWITCH_RULES_COMPILE_COMPILER_HPP
#define TURMERICSWITCH_RULES_COMPILE_COMPILER_HPP

#include "rules/model/rule_set.hpp"

#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::rules
{

/// Replaces names by canonical ids and checks rules against each other.
///
/// @param file Name of the file, for messages.
/// @param errors Receives every error, up to `max_errors`: `name_ambiguous`,
/// `name_unknown`, `rule_duplicate` and `rule_conflict`. The last two give
/// the lines of both rules.
/// @return The configuration, or nothing if there is any error; last_reason()
/// then has the first one.
std::optional<core::configuration> compile(rule_set const& rules,
                                           std::string const& file,
                                           std::vector<rule_error>& errors);

/// Skips `name` rules that contradict an earlier one.
///
/// @return The name table of the other `name` rules.
naming::name_table build_name_table(rule_set const& rules);

/// @return The same rule with canonical names, and with the kinds of a
/// co-location rule and the methods of a route sorted.
rule_body canonical(rule_body const& body, naming::name_table const& names);

/// @param body A canonical rule.
/// @return A key that is equal for two rules about the same object, such as
/// `zone az-a`; for a `name` rule its whole text.
std::string subject_of(rule_body const& body);

} // namespace turmericswitch::rules

#endif
