#ifndef TURMERICSWITCH_CTL_COMMANDS_COMMAND_CONTEXT_HPP
#define TURMERICSWITCH_CTL_COMMANDS_COMMAND_CONTEXT_HPP

#include "client/control_client.hpp"
#include "core/hooks/random_source.hpp"
#include "process/process.hpp"
#include "settings/ctl_settings.hpp"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace turmericswitch::ctl
{

/// Arguments and services of a subcommand.
///
/// A subcommand returns `ok`, or, after it has reported the error and advice
/// on `err`, the result code that determines the exit status.
struct command_context
{
    process::arguments const& arguments;
    ctl_settings const& settings;
    control_client& client;
    std::ostream& out;
    std::ostream& err;
    core::random_source random;

    bool wants_json() const
    {
        return arguments.flag("--json");
    }
};

/// Writes an error as `NUMBER NAME: text`, and the advice if it is not empty.
///
/// @return The code.
core::result_code report_error(command_context const& context,
                               core::result_code code,
                               std::string const& text,
                               std::string const& advice);

/// Reports a failed answer with the advice for its code; with --json also
/// prints its body to `out`.
///
/// @return The code of the answer.
core::result_code report_failure(command_context const& context,
                                 control_answer const& answer);

/// Reports this thread's last reason with the advice for its code.
///
/// @return The code of the last reason.
core::result_code report_last_reason(command_context const& context);

/// @return The next step for an operator after this error, or empty.
std::string advice_for(core::result_code code);

/// @return The author from --author or the settings, or nothing with `usage`
/// after reporting the error.
std::optional<std::string> required_author(command_context const& context);

/// Call it once per invocation: control applies a retried write once only if
/// all attempts carry the same name.
///
/// @return The value of --operation, or a random name.
std::string operation_name(command_context const& context);

/// @return The integer value of an option, or nothing if it is not given.
/// parse_command_line() has checked the value.
std::optional<std::uint64_t> number_option(command_context const& context,
                                           char const* name);

/// @return The value of --wait, or nothing if it is not given.
std::optional<core::duration> wait_limit(command_context const& context);

/// Reports a failed answer, or prints the body of an ok answer with --json.
///
/// @return The code, or nothing if the answer is ok and the caller must print
/// it as text.
std::optional<core::result_code>
report_failure_or_json(command_context const& context,
                       control_answer const& answer);

} // namespace turmericswitch::ctl

#endif
