#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_MOVE_SEARCH_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_MOVE_SEARCH_HPP

#include "workflow/dispatch/stage_placement.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace turmericswitch::workflow
{

/// A run that may be stopped and placed on another worker.
struct movable_run
{
    /// The stage with this run alone.
    pending_stage pending;
    /// What the move costs, in cores of the usual task that resumes from a
    /// checkpoint.
    double cost = 0;
};

/// @return The runs on the worker that may be moved.
using movable_hook =
    std::function<std::vector<movable_run>(candidate_worker const& worker)>;

/// Runs whose move makes room for a task on their worker.
struct move_set
{
    core::worker_id worker;
    /// Empty if the worker has room.
    std::vector<movable_run> runs;
    double cost = 0;
};

/// Finds the cheapest set of runs on one worker whose move makes room for a
/// task of the stage, and for which other workers have room.
///
/// @return The set, or `nullopt` if there is none.
std::optional<move_set>
find_cheapest_moves(pending_stage const& pending,
                    std::vector<candidate_worker*> const& candidates,
                    movable_hook const& movable,
                    tail_hook const& tail,
                    placement_policy const& policy);

} // namespace turmericswitch::workflow

#endif
