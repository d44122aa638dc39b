#ifndef TURMERICSWITCH_CTL_COMMANDS_RULES_FILE_HPP
#define TURMERICSWITCH_CTL_COMMANDS_RULES_FILE_HPP

#include "rules/rules.hpp"

#include <optional>
#include <ostream>
#include <string>

namespace turmericswitch::ctl
{

/// A local rules file that parsed and compiled without errors.
struct rules_file
{
    std::string text;
    rules::rule_set parsed;
};

/// @return The content of a file, or nothing with `io_failed`.
std::optional<std::string> read_text_file(std::string const& path);

/// Reads, parses and compiles a file, and writes every error as
/// `FILE:LINE:COLUMN: NUMBER NAME: text` to `err`.
///
/// @param errors_json Receives `{"errors": [...]}` if not null.
/// @return The file, or nothing with the first error as last reason.
std::optional<rules_file> load_rules_file(std::string const& path,
                                          std::ostream& err,
                                          std::string* errors_json = nullptr);

/// Runs the subcommand `check`, which does not connect to control.
core::result_code
check(std::string const& path, bool json, std::ostream& out, std::ostream& err);

} // namespace turmericswitch::ctl

#endif
