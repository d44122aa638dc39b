#ifndef TURMERICSWITCH_CTL_COMMANDS_JOB_COMMANDS_HPP
#define TURMERICSWITCH_CTL_COMMANDS_JOB_COMMANDS_HPP

#include "commands/command_context.hpp"

namespace turmericswitch::ctl
{

// Subcommands about jobs. See docs/ctl.md.

core::result_code list_jobs(command_context const& context);
core::result_code show_job(command_context const& context);
core::result_code submit(command_context const& context);
core::result_code cancel(command_context const& context);

} // namespace turmericswitch::ctl

#endif
