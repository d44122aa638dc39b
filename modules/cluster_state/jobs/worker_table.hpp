#ifndef TURMERICSWITCH_CLUSTER_STATE_JOBS_WORKER_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_JOBS_WORKER_TABLE_HPP

#include "core/messages/state.hpp"

#include <map>
#include <set>
#include <vector>

namespace turmericswitch::cluster_state
{

/// A worker and what the attempts on it hold.
struct worker_state
{
    core::worker_record record;
    /// Sum of the reservations of all attempts not confirmed stopped.
    core::resources committed;
    std::set<core::job_id> held;
    std::map<core::task_kind, std::uint32_t> kinds;
};

/// All workers with their committed reservations. Every change costs
/// O(log workers + log tasks of the worker).
class worker_table
{
public:
    worker_state const* find(core::worker_id const& worker) const;
    worker_state* find(core::worker_id const& worker);

    /// Adds a worker or replaces its description. A new life starts its
    /// report sequence again; what earlier attempts hold stays.
    void put(core::worker_description const& description);

    /// Counts a hold of a job. The worker must be known.
    void hold(core::job_record const& job);

    /// Ends the hold of a job; removes a retired worker that is then empty.
    void release(core::job_record const& job);

    /// Stops placements on a worker; removes it when it holds nothing.
    void retire(core::worker_id const& worker);

    std::map<core::worker_id, worker_state> const& all() const noexcept;

    /// Puts a worker back from a snapshot, before its holds.
    void restore(core::worker_record record);

private:
    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::cluster_state

#endif
