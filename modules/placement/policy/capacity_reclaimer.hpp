#ifndef TURMERICSWITCH_PLACEMENT_POLICY_CAPACITY_RECLAIMER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_CAPACITY_RECLAIMER_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Reclaims capacity for a job that fits no worker at present.
///
/// Holds a worker for the job until enough of its tasks have ended, or evicts
/// batch tasks for urgent jobs and services. No other job except urgent ones
/// is placed on a worker while it is held.
class capacity_reclaimer
{
public:
    capacity_reclaimer(planner_state& state,
                       core::time_point now,
                       tick_decisions& decisions);

    /// Releases holds whose job is no longer queued, that are too old, or whose
    /// worker no longer accepts tasks.
    static void release_holds(planner_state& state, core::time_point now);

    /// Releases the hold on the slot's worker; does nothing without a slot.
    static void release_hold_of(planner_state& state,
                                std::optional<std::size_t> slot);

    /// Holds for the job the worker that lacks least capacity.
    void hold_worker(task_entry& task, core::resources const& need);

    /// Evicts the batch tasks that lose least work and holds their worker.
    /// @return False if no worker has enough batch to evict, or if this tick's
    /// limit of preemptions is reached.
    bool preempt_batch(task_entry& task, core::resources const& need);

private:
    void hold(task_entry& task, std::size_t slot, char const* reason);
    /// @param deficit Receives the largest share of the worker's processors or
    /// memory that is lacking at present.
    bool can_hold(task_entry const& task,
                  core::resources const& need,
                  std::size_t slot,
                  double& deficit) const;
    std::vector<task_entry*>
    batch_by_eviction_cost(worker_entry const& worker) const;
    /// @param cost Receives the cost of the evictions in core seconds.
    /// @return Batch tasks to evict so that the need fits; empty if impossible
    /// or if nothing has to be evicted.
    std::vector<task_entry*> victims_on(core::resources const& need,
                                        std::size_t slot,
                                        double& cost) const;

    planner_state& m_state;
    core::time_point m_now;
    tick_decisions& m_decisions;
    std::size_t m_holds_left;
    std::size_t m_preemptions_left;
};

} // namespace turmericswitch::placement

#endif
