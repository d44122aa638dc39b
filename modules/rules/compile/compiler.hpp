#ifndef TURMERICSWITCH_RULES_COMPILE_COMPILER_HPP
#define TURMERICSWITCH_RULES_COMPILE_COMPILER_HPP

#include "rules/model/rule_set.hpp"

#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::rules
{

/// Resolves all names and checks rules against each other.
///
/// @param file Name of the file, for messages.
/// @param errors Receives every fault: `name_ambiguous`, `name_unknown`,
/// `rule_duplicate` and `rule_conflict` (both with both lines).
/// @return The configuration, or nothing if there is any error.
std::optional<core::configuration> compile(rule_set const& rules,
                                           std::string const& file,
                                           std::vector<rule_error>& errors);

/// @return The name table of all `name` rules that don't contradict earlier
/// ones.
naming::name_table build_name_table(rule_set const& rules);

/// @return The same rule with canonical names, and the two kinds of a
/// co-location rule in order.
rule_body canonical(rule_body const& body, naming::name_table const& names);

/// @return Text that is equal for two canonical rules on the same thing.
std::string subject_of(rule_body const& body);

} // namespace turmericswitch::rules

#endif
