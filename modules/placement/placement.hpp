#ifndef TURMERICSWITCH_PLACEMENT_PLACEMENT_HPP
#define TURMERICSWITCH_PLACEMENT_PLACEMENT_HPP

/// @file
/// Module placement: decides which job runs on which worker.
///
/// It has the planner, the models it learns (sizes, run times, interference)
/// and the baselines it is measured against. It has no I/O, threads or clock.
///
/// Dependencies: core.

#include "placement/planner.hpp"
#include "placement/types/events.hpp"
#include "placement/types/planner_options.hpp"
#include "placement/types/tick_decisions.hpp"

#endif
