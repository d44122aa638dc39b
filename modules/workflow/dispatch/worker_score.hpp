#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SCORE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_SCORE_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"

#include <functional>
#include <set>

namespace turmericswitch::workflow
{

/// Predicts the worst tail latency on a worker, as a multiple of its target,
/// with additional CPU use by image.
using tail_hook = std::function<double(core::worker_id const& worker,
                                       cpu_by_image const& added)>;

/// Tasks of one stage that are being placed.
struct stage_placement
{
    pending_stage const& pending;
    crash_suspicion suspicion = crash_suspicion::none;
    /// Racks of the stage's tasks, including those placed by this plan.
    std::set<core::rack_id> racks;
};

/// @return True if the worker may take one more task of the stage now.
bool fits(candidate_worker const& worker, pending_stage const& pending);

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
