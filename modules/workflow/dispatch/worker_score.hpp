#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SCORE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SCORE_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/placement_obstacle.hpp"
#include "workflow/dispatch/stage_placement.hpp"

#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// With a tail above this multiple of its target, a serving task has no room
/// for further neighbours.
constexpr double max_tail = 0.85;

/// @return True if the labels of a worker contain the label, or it is empty.
bool has_label(std::vector<std::string> const& labels,
               std::string const& label);

/// @return CPU that must be spare for a best-effort task of the stage; zero for
///         other stages.
core::millicores min_spare_cpu(core::stage_description const& stage);

/// @return Why the worker may not take one more task of the stage now, apart
///         from isolation and latency; `none` if it may.
placement_obstacle find_obstacle(candidate_worker const& worker,
                                 pending_stage const& pending);

/// @return True if the worker may take one more task of the stage now.
bool fits(candidate_worker const& worker, pending_stage const& pending);

/// @return True if nothing but capacity may prevent the worker from taking a
///         task of the stage.
bool is_allowed(candidate_worker const& worker, pending_stage const& pending);

/// @return True if one more task of the stage is predicted to raise a serving
///         task's tail there to near its target. A tail that is already high
///         and that the task does not raise doesn't count.
bool raises_tail(candidate_worker const& worker,
                 core::stage_description const& stage,
                 tail_hook const& tail);

/// @return How well the worker suits one more task of the stage; the highest
///         score is the best.
double score(candidate_worker const& worker,
             stage_placement const& placement,
             tail_hook const& tail);

} // namespace turmericswitch::workflow

#endif
