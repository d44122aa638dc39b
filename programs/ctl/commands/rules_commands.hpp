#ifndef TURMERICSWITCH_CTL_COMMANDS_RULES_COMMANDS_HPP
#define TURMERICSWITCH_CTL_COMMANDS_RULES_COMMANDS_HPP

#include "commands/command_context.hpp"

namespace turmericswitch::ctl
{

// Subcommands about the rules file. See docs/ctl.md.

core::result_code diff(command_context const& context);
core::result_code apply(command_context const& context);
core::result_code show(command_context const& context);
core::result_code history(command_context const& context);

} // namespace turmericswitch::ctl

#endif
