#ifndef TURMERICSWITCH_PLACEMENT_POLICY_PRESSURE_CONTROLLER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_PRESSURE_CONTROLLER_HPP

#include "core/messages/jobs.hpp"
#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Learns from usage reports and acts on workers that are short of capacity
/// or on which services run slowly: throttle batch, then evict the batch task
/// that loses least work.
///
/// Measurements taken before the last action on a worker took effect don't
/// lead to another one.
class pressure_controller
{
public:
    explicit pressure_controller(planner_state& state);

    /// @param worker_slot The worker that reported.
    void learn(core::time_point now,
               std::size_t worker_slot,
               core::usage_sample const& sample);

    void run(core::time_point now, tick_decisions& decisions);

private:
    void learn_size(core::time_point now,
                    core::time_point measured_at,
                    task_entry& task,
                    core::resources used);
    void learn_slowdown(core::time_point measured_at,
                        task_entry& task,
                        double slowdown);
    bool relieve_capacity(core::time_point now,
                          worker_entry& worker,
                          tick_decisions& decisions);
    bool relieve_services(core::time_point now,
                          worker_entry& worker,
                          tick_decisions& decisions);
    bool lift_throttles(core::time_point now,
                        worker_entry& worker,
                        tick_decisions& decisions);
    double harm(task_entry const& victim,
                task_entry const& batch,
                worker_entry const& worker,
                std::uint32_t permille) const;
    void throttle(core::time_point now,
                  task_entry& task,
                  worker_entry& worker,
                  std::uint32_t permille,
                  std::string const& reason,
                  tick_decisions& decisions);

    planner_state& m_state;
};

} // namespace turmericswitch::placement

#endif
