#ifndef TURMERICSWITCH_PLACEMENT_POLICY_ZONE_EVACUATOR_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_ZONE_EVACUATOR_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Evicts tasks from availability zones that operators took out of service,
/// and opens returning zones step by step.
///
/// Urgent jobs and services are evicted first, then batch by latest start, as
/// long as the other zones have capacity for it. Batch that would only wait
/// elsewhere keeps running until the drain time is over, and a task expected
/// to end within that time is not evicted.
class zone_evacuator
{
public:
    explicit zone_evacuator(planner_state& state);

    /// Applies the states of the zones to all workers.
    void update_workers(core::time_point now);

    void run(core::time_point now, tick_decisions& decisions);

private:
    struct evacuating_task
    {
        task_entry* task;
        core::time_point out_since;
    };

    std::vector<evacuating_task> tasks_to_evacuate() const;
    core::resources remaining_capacity() const;
    bool should_evict(core::time_point now,
                      evacuating_task const& item,
                      core::resources const& left) const;

    planner_state& m_state;
};

} // namespace turmericswitch::placement

#endif
