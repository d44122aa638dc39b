#ifndef TURMERICSWITCH_CTL_RUN_CTL_RUN_HPP
#define TURMERICSWITCH_CTL_RUN_CTL_RUN_HPP

#include "client/control_client.hpp"
#include "core/hooks/random_source.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// What the program takes from its surroundings.
struct ctl_surroundings
{
    std::ostream& out;
    std::ostream& err;
    /// Names operations; must differ between two invocations.
    core::random_source random;
    client_clock clock;
};

/// Runs one invocation of `turmericswitch-ctl`.
///
/// @param words The command line without the name of the program.
/// @return The exit status: 0, 2 for a wrong command line, else the result
/// code modulo 256 and never 0.
int run_ctl(std::vector<std::string> const& words,
            ctl_surroundings const& surroundings);

/// @return The exit status of a result code.
int exit_status(core::result_code code);

} // namespace turmericswitch::ctl

#endif
