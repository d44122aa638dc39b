#ifndef TURMERICSWITCH_CTL_COMMANDS_STATUS_WAIT_HPP
#define TURMERICSWITCH_CTL_COMMANDS_STATUS_WAIT_HPP

#include "answers/control_answers.hpp"
#include "commands/command_context.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericswitch::ctl
{

/// @return The status, or nothing after a complaint; the code is the last
/// reason.
std::optional<status_view> fetch_status(command_context const& context);

/// Polls status until every process that it lists has the revision in force.
///
/// @return `timed_out` after a list of the processes that are behind.
core::result_code wait_until_in_force(command_context const& context,
                                      std::uint64_t revision,
                                      core::duration limit);

/// Polls status until no start order can take effect in the zone any more.
///
/// @param zone In any naming scheme.
/// @return `timed_out` when the time is up, `name_unknown` when no rule
/// declares the zone any more.
core::result_code wait_until_quiet(command_context const& context,
                                   std::string const& zone,
                                   core::duration limit);

} // namespace turmericswitch::ctl

#endif
