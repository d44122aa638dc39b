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

/// Workers, jobs, and the capacity that each job reserves on its worker.
///
/// All changes of reservations go through this class, which keeps the sums per
/// worker and team and the capacity index consistent.
class fleet
{
public:
    /// Adds a worker or updates its description.
    /// @return Its slot, which stays the same until the worker is removed.
    std::size_t put_worker(core::worker_description const& description);

    /// Removes a worker; it must have no tasks.
    void remove_worker(std::size_t slot);

    std::optional<std::size_t> slot_of(core::worker_id const& worker) const;
    worker_entry& worker(std::size_t slot);
    worker_entry const& worker(std::size_t slot) const;
    /// @return Number of slots, including those without a worker.
    std::size_t slots() const noexcept;

    /// @return The job's entry, or nullptr.
    task_entry* find(core::job_id job);
    task_entry& add_job(core::job_id job);
    void remove_job(core::job_id job);
    std::map<core::job_id, task_entry>& jobs() noexcept;

    /// Reserves capacity on a worker for an attempt.
    void reserve(core::time_point now,
                 task_entry& task,
                 std::size_t slot,
                 core::resources const& reserved,
                 core::resources const& charged);

    /// Releases the capacity that the task holds, if any.
    void release(core::time_point now, task_entry& task);

    /// Raises a reservation as far as the worker has free capacity.
    /// @return True if all of `wanted` is reserved now.
    bool grow_reservation(core::time_point now,
                          task_entry& task,
                          core::resources const& wanted);

    /// Updates the capacity index after a change of a worker's state.
    void update_index(std::size_t slot);

    /// @return Free capacity for new tasks; negative when the worker accepts
    /// none.
    core::resources available_capacity(worker_entry const& worker) const;

    /// @return Number of workers that accept new tasks, full ones included.
    std::size_t schedulable_workers() const;

    /// @return 0 when the worker is absent, lost or in a zone out of service,
    /// else the share of its capacity that new tasks may use.
    double available_share_of(std::size_t slot) const;

    /// @return Reserved share of the worker's processors, 1 when full.
    static double load(worker_entry const& worker);

    /// @return The slots that hold tasks of the kind, once per task.
    std::multiset<std::size_t> const& slots_of(kind_index kind) const;

    capacity_index const& index() const noexcept;

    /// @return Resources charged to the team's quota for its placed tasks.
    core::resources charged(core::team_id const& team) const;

    /// @return Total capacity of all known workers.
    core::resources total() const noexcept;

    /// @return Among the capacities of present workers that fit the need, the
    /// one with most memory; nothing if no worker fits it even when empty.
    std::optional<core::resources>
    largest_fitting_capacity(core::resources const& need) const;

private:
    bool is_schedulable(worker_entry const& worker) const;
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
