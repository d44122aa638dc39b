#ifndef TURMERICSWITCH_PLACEMENT_STATE_WORKER_ENTRY_HPP
#define TURMERICSWITCH_PLACEMENT_STATE_WORKER_ENTRY_HPP

#include "core/messages/jobs.hpp"
#include "placement/model/occupancy_history.hpp"
#include "placement/state/task_entry.hpp"

#include <boost/container/flat_map.hpp>
#include <optional>

namespace turmericswitch::placement
{

enum class worker_health : std::uint8_t
{
    healthy,
    quarantined,
    /// Quarantine ended; runs one task at a time until one succeeds.
    probing,
};

/// What the planner knows about one worker.
struct worker_entry
{
    core::worker_description description;
    bool present = false;
    bool lost = false;
    bool zone_out = false;
    /// Share of the capacity that new tasks may use; below 1 while the zone
    /// returns to service step by step.
    double available_share = 1;
    worker_health health = worker_health::healthy;
    core::resources reserved;
    /// Ordered by job, so that iteration is deterministic. A flat map, because
    /// it is iterated for each candidate of each placement.
    boost::container::flat_map<core::job_id, task_entry*> tasks;
    /// Job for which this worker is held.
    std::optional<core::job_id> held_for;
    occupancy_history history;

    /// Time of the last throttle or eviction for slow services; measurements
    /// taken before it don't show its effect.
    core::time_point last_action_at{};
    core::time_point calm_since = core::time_point::max();
    /// Job that tests the worker after a quarantine.
    std::optional<core::job_id> probe;
};

} // namespace turmericswitch::placement

#endif
