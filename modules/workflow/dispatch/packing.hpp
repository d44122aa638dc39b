#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PACKING_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PACKING_HPP

#include "workflow/dispatch/stage_placement.hpp"

#include <cstddef>
#include <vector>

namespace turmericswitch::workflow
{

/// @return True if the stage's tasks go to the fullest worker that fits.
bool is_packed(stage_placement const& placement);

/// @return Part of the score that makes the fullest worker the best, unless a
///         serving task there is near its target or the worker's rack or zone
///         already has half of the stage's tasks.
double packing_value(candidate_worker const& worker,
                     stage_placement const& placement,
                     tail_hook const& tail);

/// @return Penalty for using capacity that can take the largest request of the
///         service.
double wide_slot_penalty(candidate_worker const& worker,
                         stage_placement const& placement);

/// Counts the stage's tasks by rack and zone.
spread_counts count_spread(pending_stage const& pending,
                           std::vector<candidate_worker*> const& candidates);

/// Adds a placed task to the placement's spread.
///
/// @return True if this changes the values of other workers.
bool add_to_spread(candidate_worker const& worker, stage_placement& placement);

/// @return How many of the workers may be kept for wide tasks.
std::size_t most_held(std::size_t workers) noexcept;

/// Keeps workers for a stage's wide tasks that no worker can take now: tasks of
/// later stages do not start there, so that the ends of the runs there make
/// room. Workers on which long-running tasks leave too little are not kept.
///
/// @param unplaced Number of the stage's tasks that were not placed.
/// @param holdable How many more workers may be kept; updated.
void hold_workers(pending_stage const& pending,
                  std::size_t unplaced,
                  std::vector<candidate_worker*> const& candidates,
                  std::size_t& holdable);

/// Holds the workers that the policy keeps for stages.
void hold_kept_workers(placement_policy const& policy,
                       std::vector<candidate_worker*> const& candidates);

/// Ends the holds of a plan.
void release_workers(std::vector<candidate_worker*> const& candidates);

} // namespace turmericswitch::workflow

#endif
