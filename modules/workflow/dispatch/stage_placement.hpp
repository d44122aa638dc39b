#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLACEMENT_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLACEMENT_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/placement_obstacle.hpp"
#include "workflow/dispatch/speed_model.hpp"
#include "workflow/dispatch/wide_requests.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// Predicts the worst tail latency on a worker, as a multiple of its target,
/// with additional CPU use by image.
using tail_hook = std::function<double(core::worker_id const& worker,
                                       cpu_by_image const& added)>;

/// @return The worker's speed for an image.
using speed_hook = std::function<worker_speed(core::worker_id const& worker,
                                              std::string const& image)>;

/// @return True if recent samples show the effect of best-effort tasks of the
///         image on a serving task on the worker.
using effect_hook = std::function<bool(core::worker_id const& worker,
                                       std::string const& image)>;

/// A run of a stage.
struct running_task_time
{
    core::worker_id worker;
    /// Time since the placement in units of the expected run time on an average
    /// worker.
    double elapsed = 0;
};

/// @return The stage's runs of which the placement time is known.
using running_hook =
    std::function<std::vector<running_task_time>(stage_ref const& stage)>;

/// A worker that is kept for a stage during a whole plan.
struct kept_worker
{
    core::worker_id worker;
    held_capacity held;
};

/// Receives the number of a stage's tasks that a plan left unplaced, and what
/// held them back.
using unplaced_hook = std::function<void(
    pending_stage const& pending, std::size_t tasks, placement_obstacle why)>;

/// How the planner chooses among the workers that can take a task.
struct placement_policy
{
    /// Null if tasks are spread evenly. Otherwise long-running tasks are packed
    /// and capacity is kept for these requests.
    wide_requests const* wide = nullptr;
    /// Empty if speeds are not used.
    speed_hook speed{};
    running_hook running{};
    /// Empty if no best-effort task may start where it is predicted to raise a
    /// tail.
    effect_hook is_effect_known{};
    std::vector<kept_worker> kept{};
    /// May be empty.
    unplaced_hook on_unplaced{};
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
    /// The largest request of the service; empty without packing.
    core::resources wide;
};

} // namespace turmericswitch::workflow

#endif
