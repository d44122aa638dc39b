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
    /// Quarantine ended; one task at a time until one ends well.
    probing,
};

/// What the planner knows about one worker.
struct worker_entry
{
    core::worker_description description;
    bool present = false;
    bool lost = false;
    bool zone_out = false;
    /// Share of the capacity open to starts; below 1 while a zone returns.
    double open_share = 1;
    worker_health health = worker_health::healthy;
    core::resources reserved;
    /// Ordered by job, so that every walk has the same order. Flat, because
    /// it is walked for each candidate of each start.
    boost::container::flat_map<core::job_id, task_entry*> tasks;
    /// Job for which the free capacity is kept.
    std::optional<core::job_id> held_for;
    occupancy_history history;

    /// Measurements taken before this time don't judge the last action.
    core::time_point acted_at{};
    core::time_point calm_since = core::time_point::max();
    /// Set while the worker is probed after a quarantine.
    std::optional<core::job_id> probe;
};

} // namespace turmericswitch::placement

#endif
