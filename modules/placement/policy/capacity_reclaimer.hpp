#ifndef TURMERICSWITCH_PLACEMENT_POLICY_CAPACITY_RECLAIMER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_CAPACITY_RECLAIMER_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Gets capacity for a job that found none: holds a worker for it until its
/// tasks have ended, or evicts batch for urgent jobs and services.
class capacity_reclaimer
{
public:
    capacity_reclaimer(planner_state& state,
                       core::time_point now,
                       tick_decisions& decisions);

    /// Frees workers whose job is placed or gone, or that have closed.
    static void release_holds(planner_state& state, core::time_point now);

    /// Frees the slot's worker for other jobs; does nothing without a slot.
    static void release_hold_of(planner_state& state,
                                std::optional<std::size_t> slot);

    /// Keeps the free capacity of one worker for the job.
    void hold_worker(task_entry& task, core::resources const& need);

    /// Evicts the batch that loses least work and holds its worker.
    /// @return False if no worker can be freed, or not in this tick.
    bool make_room(task_entry& task, core::resources const& need);

private:
    void hold(task_entry& task, std::size_t slot, char const* reason);
    bool could_hold(task_entry const& task,
                    core::resources const& need,
                    std::size_t slot,
                    double& deficit) const;
    std::vector<task_entry*> batch_by_loss(worker_entry const& worker) const;
    std::vector<task_entry*> victims_on(core::resources const& need,
                                        std::size_t slot,
                                        double& loss) const;

    planner_state& m_state;
    core::time_point m_now;
    tick_decisions& m_decisions;
    std::size_t m_holds_left;
    std::size_t m_rooms_left;
};

} // namespace turmericswitch::placement

#endif
