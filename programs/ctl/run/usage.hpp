#ifndef TURMERICSWITCH_CTL_RUN_USAGE_HPP
#define TURMERICSWITCH_CTL_RUN_USAGE_HPP

#include "process/process.hpp"

#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// Parses the command line and checks all numbers and addresses in it.
///
/// @param words The command line without the program name.
/// @return The parsed arguments, or the message to print and the exit status.
process::arguments_result
parse_command_line(std::vector<std::string> const& words);

} // namespace turmericswitch::ctl

#endif
