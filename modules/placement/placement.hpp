#ifndef TURMERICSWITCH_PLACEMENT_PLACEMENT_HPP
#define TURMERICSWITCH_PLACEMENT_PLACEMENT_HPP

/// @file
/// Module placement: decides which job runs on which worker.
///
/// Contains the planner, the models that it learns from usage reports
/// (resource use, run times, interference) and baseline policies for
/// benchmarks. Has no I/O, threads or clock; callers pass the time in.
///
/// Dependencies: core.

#include "placement/planner.hpp"
#include "placement/types/events.hpp"
#include "placement/types/planner_options.hpp"
#include "placement/types/tick_decisions.hpp"

#endif
