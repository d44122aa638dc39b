#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SPEED_CHOICE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SPEED_CHOICE_HPP

#include "workflow/dispatch/stage_placement.hpp"

#include <vector>

namespace turmericswitch::workflow
{

/// @return Part of the score for the worker's speed; 0 if speeds are not used.
double speed_value(candidate_worker const& worker,
                   stage_placement const& placement);

/// Decides for the last tasks of a stage whether waiting for a faster worker,
/// where another task of the stage runs, ends them sooner.
///
/// @param best The best worker that has room now.
/// @param placed The stage's tasks that this plan has placed.
/// @return True if the task should wait.
bool waits_for_faster_worker(candidate_worker const& best,
                             stage_placement const& placement,
                             std::vector<core::run_placement> const& placed);

} // namespace turmericswitch::workflow

#endif
