#ifndef TURMERICSWITCH_CLUSTER_STATE_JOBS_WORKER_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_JOBS_WORKER_TABLE_HPP

#include "core/messages/state.hpp"

#include <map>
#include <set>
#include <vector>

namespace turmericswitch::cluster_state
{

/// A worker and the resources that attempts hold on it.
struct worker_state
{
    core::worker_record record;
    /// Sum of the reservations of all attempts not confirmed to have stopped.
    core::resources committed;
    std::set<core::job_id> held;
    /// Number of held tasks of each kind.
    std::map<core::task_kind, std::uint32_t> kind_counts;
};

/// All workers with their committed reservations. Every change costs
/// O(log workers + log tasks of the worker).
class worker_table
{
public:
    worker_state const* find(core::worker_id const& worker) const;
    worker_state* find(core::worker_id const& worker);

    /// Adds a worker or replaces its description. A new incarnation restarts
    /// the report sequence; resources held by earlier attempts stay held.
    void upsert(core::worker_description const& description);

    /// Adds the hold of a job to its worker, which must be known.
    void add_hold(core::job_record const& job);

    /// Removes the hold of a job from its worker, and the worker itself if it
    /// is retired and holds nothing more.
    void remove_hold(core::job_record const& job);

    /// Stops placements on a worker and removes it once it holds nothing.
    void retire(core::worker_id const& worker);

    std::map<core::worker_id, worker_state> const& all() const noexcept;

    /// Restores a worker from a snapshot, without its holds.
    void restore(core::worker_record record);

private:
    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::cluster_state

#endif
