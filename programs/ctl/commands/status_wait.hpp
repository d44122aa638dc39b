#ifndef TURMERICSWITCH_CTL_COMMANDS_STATUS_WAIT_HPP
#define TURMERICSWITCH_CTL_COMMANDS_STATUS_WAIT_HPP

#include "answers/control_answers.hpp"
#include "commands/command_context.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericswitch::ctl
{

/// @return The status, or nothing after reporting the error; the code is the
/// last reason.
std::optional<status_view> fetch_status(command_context const& context);

/// Polls the status until every process that it lists has the revision in
/// force.
///
/// @return `ok`, `timed_out` after listing the processes that still have an
/// older revision, or the code of a failed call.
core::result_code wait_until_in_force(command_context const& context,
                                      std::uint64_t revision,
                                      core::duration limit);

/// Polls the status until no start order can take effect in the zone any more.
///
/// @param zone Name of the zone in any naming scheme.
/// @return `ok`, `timed_out` after the limit, `name_unknown` if no rule
/// declares the zone, or the code of a failed call.
core::result_code wait_until_quiet(command_context const& context,
                                   std::string const& zone,
                                   core::duration limit);

} // namespace turmericswitch::ctl

#endif
