#ifndef TURMERICSWITCH_LOAD_RUN_LOAD_RUN_HPP
#define TURMERICSWITCH_LOAD_RUN_LOAD_RUN_HPP

#include "load/figures/report.hpp"
#include "load/scenario/scenario.hpp"

#include <string>

namespace turmericswitch::load
{

/// @return A random tag for request ids and job names, so that executions of
/// an earlier run on the same stand-ins are not counted.
std::string unique_tag();

/// Runs one scenario: sends requests and jobs, waits for them to end, then
/// reads the execution counts of the stand-ins and the usage of the daemons.
///
/// @param tag From unique_tag().
report run_scenario(scenario const& settings, std::string const& tag);

} // namespace turmericswitch::load

#endif
