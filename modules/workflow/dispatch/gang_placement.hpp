#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_GANG_PLACEMENT_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_GANG_PLACEMENT_HPP

#include "workflow/dispatch/stage_placement.hpp"

#include <cstddef>
#include <vector>

namespace turmericswitch::workflow
{

/// Places all tasks of a gang, or none.
///
/// @param candidates Updated with the placements.
/// @param max_tasks Maximum number of tasks to place.
std::vector<core::run_placement>
place_gang(pending_stage const& pending,
           std::vector<candidate_worker*> const& candidates,
           std::size_t max_tasks,
           tail_hook const& tail,
           placement_policy const& policy);

} // namespace turmericswitch::workflow

#endif
