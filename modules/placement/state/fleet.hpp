#ifndef TURMERICSWITCH_PLACEMENT_STATE_FLEET_HPP
#define TURMERICSWITCH_PLACEMENT_STATE_FLEET_HPP

#include "placement/state/capacity_index.hpp"
#include "placement/state/task_entry.hpp"
#include "placement/state/worker_entry.hpp"

#include <map>
#include <set>
#include <vector>

namespace turmericswitch::placement
{

/// Workers, jobs, and which job holds how much of which worker.
///
/// All changes of reservations go through here, so that the sums per worker
/// and team and the capacity index can't drift apart.
class fleet
{
public:
    /// Adds a worker or changes its description.
    /// @return Its slot, which stays the same while it is known.
    std::size_t put_worker(core::worker_description const& description);

    /// Forgets a worker without tasks.
    void remove_worker(std::size_t slot);

    std::optional<std::size_t> slot_of(core::worker_id const& worker) const;
    worker_entry& worker(std::size_t slot);
    worker_entry const& worker(std::size_t slot) const;
    /// @return Number of slots, some of which may be absent.
    std::size_t slots() const noexcept;

    /// @return The job's entry, or nullptr.
    task_entry* find(core::job_id job);
    task_entry& add_job(core::job_id job);
    void remove_job(core::job_id job);
    std::map<core::job_id, task_entry>& jobs() noexcept;

    /// Reserves capacity on a worker for an attempt.
    void attach(core::time_point now,
                task_entry& task,
                std::size_t slot,
                core::resources const& reserved,
                core::resources const& charged);

    /// Returns the capacity that the task holds, if any.
    void detach(core::time_point now, task_entry& task);

    /// Raises a reservation as far as the worker has capacity.
    /// @return True if all that was wanted is reserved now.
    bool raise(core::time_point now,
               task_entry& task,
               core::resources const& wanted);

    /// Makes the index agree after a change of a worker's state.
    void refresh(std::size_t slot);

    /// @return Capacity open to new starts; negative when closed.
    core::resources open_capacity(worker_entry const& worker) const;

    /// @return Workers that take starts, full ones included.
    std::size_t open_workers() const;

    /// @return 0 when the worker is absent, lost or out of service, else the
    /// share of its capacity that is open to starts.
    double open_share_of(std::size_t slot) const;

    /// @return Processor share in reservation, 1 when full.
    static double load(worker_entry const& worker);

    /// @return The slots that hold tasks of the kind, once per task.
    std::multiset<std::size_t> const& slots_of(kind_index kind) const;

    capacity_index const& index() const noexcept;

    /// @return What the team's placed tasks are charged together.
    core::resources charged(core::team_id const& team) const;

    /// @return Sum of the capacities of all known workers.
    core::resources total() const noexcept;

    /// @return The component-wise largest capacity, over present workers that
    /// hold the need; nothing when no worker would hold it even when empty.
    std::optional<core::resources>
    largest_holding(core::resources const& need) const;

private:
    bool is_open(worker_entry const& worker) const;
    void count_capacity(core::resources const& capacity, int change);

    std::vector<worker_entry> m_workers;
    std::vector<std::size_t> m_free_slots;
    std::map<core::worker_id, std::size_t> m_slots;
    std::map<core::job_id, task_entry> m_jobs;
    std::map<core::team_id, core::resources> m_charged;
    std::map<kind_index, std::multiset<std::size_t>> m_kind_slots;
    std::map<core::resources, std::size_t> m_capacities;
    core::resources m_total;
    capacity_index m_index;
};

} // namespace turmericswitch::placement

#endif
