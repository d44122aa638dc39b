#ifndef TURMERICSWITCH_CTL_RUN_CTL_RUN_HPP
#define TURMERICSWITCH_CTL_RUN_CTL_RUN_HPP

#include "client/control_client.hpp"
#include "core/hooks/random_source.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// Output streams, random source and clock of an invocation.
struct ctl_environment
{
    std::ostream& out;
    std::ostream& err;
    /// Generates operation names; two invocations must not get the same
    /// sequence.
    core::random_source random;
    client_clock clock;
};

/// Runs one invocation of `turmericswitch-ctl`.
///
/// @param words The command line without the program name.
/// @return The exit status: 2 for a wrong command line, else as exit_status().
int run_ctl(std::vector<std::string> const& words,
            ctl_environment const& environment);

/// @return 0 for `ok`, 2 for `usage`, else the result code modulo 256, or 1 if
/// that is 0.
int exit_status(core::result_code code);

} // namespace turmericswitch::ctl

#endif
