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

/// What a subcommand works with. It returns `ok`, or the code that becomes
/// the exit status after it has written why and what to do next.
struct command_context
{
    process::arguments const& words;
    ctl_settings const& settings;
    control_client& client;
    std::ostream& out;
    std::ostream& err;
    core::random_source random;

    bool wants_json() const
    {
        return words.flag("--json");
    }
};

/// Writes a fault as `NUMBER NAME: text` and, if there is any, advice.
///
/// @return The code.
core::result_code complain(command_context const& context,
                           core::result_code code,
                           std::string const& text,
                           std::string const& advice);

/// Writes a failed answer with the advice for its code; with --json its body
/// goes to the output.
///
/// @return The code of the answer.
core::result_code report_failure(command_context const& context,
                                 control_answer const& answer);

/// As report_failure for this thread's last reason.
core::result_code report_last_reason(command_context const& context);

/// @return What an operator can do about a code, or empty.
std::string advice_for(core::result_code code);

/// @return The value of --author or of the settings, or nothing after a
/// complaint.
std::optional<std::string> required_author(command_context const& context);

/// @return The value of --operation, or a random name. Call it once per
/// invocation: a repeated write must carry the same name.
std::string operation_name(command_context const& context);

/// @return The number of an option that the command line check has accepted.
std::optional<std::uint64_t> number_option(command_context const& context,
                                           char const* name);

/// @return The value of --wait.
std::optional<core::duration> wait_limit(command_context const& context);

/// Ends a call whose answer needs no text: prints the body with --json.
///
/// @return Nothing if the answer is ok and text is wanted, else the code.
std::optional<core::result_code> finished_early(command_context const& context,
                                                control_answer const& answer);

} // namespace turmericswitch::ctl

#endif
