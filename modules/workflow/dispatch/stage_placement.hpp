#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLACEMENT_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLACEMENT_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/wide_requests.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace turmericswitch::workflow
{

/// Predicts the worst tail latency on a worker, as a multiple of its target,
/// with additional CPU use by image.
using tail_hook = std::function<double(core::worker_id const& worker,
                                       cpu_by_image const& added)>;

/// How the planner chooses among the workers that can take a task.
struct placement_policy
{
    /// Null if tasks are spread evenly. Otherwise long-running tasks are packed
    /// and capacity is kept for these requests.
    wide_requests const* wide = nullptr;
};

/// Number of a stage's tasks by rack and zone.
struct spread_counts
{
    std::map<core::rack_id, std::uint32_t> racks;
    std::map<core::zone_id, std::uint32_t> zones;
};

/// Tasks of one stage that are being placed.
struct stage_placement
{
    pending_stage const& pending;
    placement_policy const& policy;
    crash_suspicion suspicion = crash_suspicion::none;
    /// Racks of the stage's tasks, including those placed by this plan.
    std::set<core::rack_id> racks;
    /// Filled for packed stages only.
    spread_counts spread;
};

} // namespace turmericswitch::workflow

#endif
