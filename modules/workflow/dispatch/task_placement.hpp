#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_TASK_PLACEMENT_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_TASK_PLACEMENT_HPP

#include "workflow/dispatch/stage_placement.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Copies of workers from before a gang was placed on them.
using saved_workers = std::map<candidate_worker*, candidate_worker>;

/// Places tasks of one stage, the isolated ones first.
///
/// @param candidates Updated with the placements.
/// @param max_tasks Maximum number of tasks to place.
/// @param may_isolate False if isolated tasks must wait.
/// @param saved Receives copies of the changed workers, unless null.
std::vector<core::run_placement>
place_tasks(pending_stage const& pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail,
            placement_policy const& policy,
            bool may_isolate = true,
            saved_workers* saved = nullptr);

} // namespace turmericswitch::workflow

#endif
