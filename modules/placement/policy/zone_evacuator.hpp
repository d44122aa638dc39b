#ifndef TURMERICSWITCH_PLACEMENT_POLICY_ZONE_EVACUATOR_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_ZONE_EVACUATOR_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Moves work out of availability zones that operators took out, and opens
/// returning ones step by step.
///
/// Services go first. Batch goes by deadline slack, least first, as long as
/// the rest of the fleet has capacity for it; work that would only wait
/// elsewhere goes on in the leaving zone until the drain time is over, and a
/// task that ends within that time is never evicted.
class zone_evacuator
{
public:
    explicit zone_evacuator(planner_state& state);

    /// Makes all workers agree with the zones' states.
    void apply(core::time_point now);

    void run(core::time_point now, tick_decisions& decisions);

private:
    struct leaving_task
    {
        task_entry* task;
        core::time_point out_since;
    };

    std::vector<leaving_task> leaving() const;
    core::resources capacity_left() const;
    bool goes_now(core::time_point now,
                  leaving_task const& item,
                  core::resources const& left) const;

    planner_state& m_state;
};

} // namespace turmericswitch::placement

#endif
