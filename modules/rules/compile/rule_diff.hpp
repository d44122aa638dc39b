#ifndef TURMERICSWITCH_RULES_COMPILE_RULE_DIFF_HPP
#define TURMERICSWITCH_RULES_COMPILE_RULE_DIFF_HPP

#include "rules/model/rule_set.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::rules
{

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// One difference between two rule sets.
struct rule_change
{
    change_kind kind = change_kind::added;
    std::optional<rule> before;
    std::optional<rule> after;

    bool operator==(rule_change const&) const = default;
};

/// Compares two rule sets by subject and canonical names, so that a rule that
/// only uses another name of the same object counts as unchanged.
///
/// @return The differences, sorted by subject. A rule whose requester or
/// reason differs counts as changed. Cost: n log n in the number of rules.
std::vector<rule_change> diff(rule_set const& a, rule_set const& b);

/// @return One line such as `+ zone az-a ... (asked by NAME)`.
std::string to_string(rule_change const& change);

} // namespace turmericswitch::rules

#endif
