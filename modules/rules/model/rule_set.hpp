#ifndef TURMERICSWITCH_RULES_MODEL_RULE_SET_HPP
#define TURMERICSWITCH_RULES_MODEL_RULE_SET_HPP

#include "core/config/configuration.hpp"
#include "core/results/result_code.hpp"
#include "naming/table/name_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::rules
{

/// One rule without its requester, with names as written in the file.
using rule_body = std::variant<naming::name_declaration,
                               core::zone_rule,
                               core::service_rule,
                               core::route_rule,
                               core::colocation_rule,
                               core::kind_limit_rule,
                               core::priority_rule,
                               core::quota_rule,
                               core::leaving_rule>;

/// One rule with the requester and the reason from its trailing comment.
struct rule
{
    rule_body body;
    std::string requester;
    std::string reason;

    bool operator==(rule const&) const = default;
};

/// One line of the file: a rule, a comment including its `#`, or blank.
struct rule_line
{
    std::optional<rule> content;
    std::string comment;

    bool operator==(rule_line const&) const = default;
};

/// A parsed file. Line `n` of the file is `lines[n - 1]`.
struct rule_set
{
    std::vector<rule_line> lines;

    bool operator==(rule_set const&) const = default;
};

/// One error in a rules file.
struct rule_error
{
    std::string file;
    std::uint32_t line = 0;
    /// Byte position in the line, from 1.
    std::uint32_t column = 0;
    core::result_code code = core::result_code::rule_syntax;
    /// What was expected.
    std::string expected;

    bool operator==(rule_error const&) const = default;
};

/// @return `FILE:LINE:COLUMN: CODE-NUMBER NAME: expected ...`.
std::string to_string(rule_error const& error);

} // namespace turmericswitch::rules

#endif
