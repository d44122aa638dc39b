#ifndef TURMERICSWITCH_PLACEMENT_POLICY_PRESSURE_CONTROLLER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_PRESSURE_CONTROLLER_HPP

#include "core/messages/jobs.hpp"
#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Learns from usage reports and relieves workers under pressure.
///
/// On a worker that is short of capacity it evicts the batch task that loses
/// least work. On a worker where services are slow it throttles batch first and
/// evicts only if that isn't enough; measurements from before such an action
/// took effect don't lead to another one.
class pressure_controller
{
public:
    explicit pressure_controller(planner_state& state);

    /// Updates the models and the task's reservation from a usage sample.
    ///
    /// @param worker_slot Slot of the worker that sent the sample.
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
    bool relieve_shortage(core::time_point now,
                          worker_entry& worker,
                          tick_decisions& decisions);
    bool relieve_slow_services(core::time_point now,
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
