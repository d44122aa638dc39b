#ifndef TURMERICSWITCH_LOAD_RUN_LOAD_RUN_HPP
#define TURMERICSWITCH_LOAD_RUN_LOAD_RUN_HPP

#include "load/figures/report.hpp"
#include "load/scenario/scenario.hpp"

#include <string>

namespace turmericswitch::load
{

/// @return A text that differs between runs, so that ids of an earlier run on
/// the same stand-ins are not counted.
std::string unique_tag();

/// Carries out one scenario: sends requests and jobs, waits for them, counts
/// executions at the stand-ins and reads the daemons' use.
///
/// @param tag From unique_tag().
report run_scenario(scenario const& settings, std::string const& tag);

} // namespace turmericswitch::load

#endif
