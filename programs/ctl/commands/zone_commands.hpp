#ifndef TURMERICSWITCH_CTL_COMMANDS_ZONE_COMMANDS_HPP
#define TURMERICSWITCH_CTL_COMMANDS_ZONE_COMMANDS_HPP

#include "commands/command_context.hpp"

namespace turmericswitch::ctl
{

// Subcommands that take availability zones out of service and drain backend
// servers, and that undo both.

core::result_code zone(command_context const& context);
core::result_code drain(command_context const& context);

} // namespace turmericswitch::ctl

#endif
