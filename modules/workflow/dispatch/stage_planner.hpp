#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLANNER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLANNER_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/stage_placement.hpp"

#include <cstddef>
#include <vector>

namespace turmericswitch::workflow
{

/// Chooses workers for unplaced tasks.
///
/// Stages are ordered by urgency, priority, rank, and age. A task goes to the
/// worker that is left with the largest free share, so that load stays even and
/// a task that uses more than its request affects few others. Distant racks,
/// earlier failures and interference between tasks lower the score of a worker.
/// Serving tasks prefer workers with other tasks of their image: each serving
/// image tolerates only some of the best-effort images, so a worker with one
/// serving image can take more of them than one with several. The members of a
/// gang are placed together or not at all.
///
/// Stages with isolated tasks come first. If one finds no worker without other
/// runs that are not established, a worker is closed to other workflows, so
/// that the task does not wait for ever on a fleet where tasks start all the
/// time. Overdue ones are not isolated.
///
/// A stage scores each worker once, and again only after a task was placed
/// there, so its cost grows with the number of workers plus the number of its
/// tasks.
///
/// With packing, long-running tasks go to the fullest worker that fits instead,
/// and workers are kept for wide tasks that no worker can take now.
///
/// @param candidates Updated with the placements.
/// @param max_tasks Maximum number of tasks to place.
std::vector<core::run_placement>
plan_stages(std::vector<pending_stage const*> pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail,
            placement_policy const& policy = {});

} // namespace turmericswitch::workflow

#endif
