#ifndef TURMERICSWITCH_CTL_COMMANDS_GROUP_COMMANDS_HPP
#define TURMERICSWITCH_CTL_COMMANDS_GROUP_COMMANDS_HPP

#include "commands/command_context.hpp"

namespace turmericswitch::ctl
{

// Subcommands about the Raft group of control instances and the decisions of
// the scheduler. See docs/ctl.md.

core::result_code members(command_context const& context);
core::result_code add_member(command_context const& context);
core::result_code remove_member(command_context const& context);
core::result_code status(command_context const& context);
core::result_code explain(command_context const& context);

} // namespace turmericswitch::ctl

#endif
