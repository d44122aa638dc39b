#ifndef TURMERICSWITCH_PLACEMENT_POLICY_PLANNER_STATE_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_PLANNER_STATE_HPP

#include "placement/model/interference_model.hpp"
#include "placement/model/processor_use.hpp"
#include "placement/model/run_time_model.hpp"
#include "placement/model/usage_model.hpp"
#include "placement/policy/failure_tracker.hpp"
#include "placement/policy/job_queue.hpp"
#include "placement/policy/urgent_headroom.hpp"
#include "placement/policy/zone_tracker.hpp"
#include "placement/state/fleet.hpp"
#include "placement/state/placement_rules.hpp"
#include "placement/types/planner_options.hpp"
#include "placement/types/tick_decisions.hpp"

namespace turmericswitch::placement
{

/// State shared by the policies that run in one tick.
struct planner_state
{
    planner_options options;
    fleet workers;
    placement_rules rules;
    usage_model usage;
    interference_model interference;
    run_time_model run_times;
    job_queue queue;
    failure_tracker failures;
    zone_tracker zones;
    urgent_headroom headroom;
    processor_use processors;
    /// Slots of workers that `pressure_controller` must check in each tick.
    std::set<std::size_t> under_pressure;
    std::set<std::size_t> held_slots;
};

/// @return A record of part "placement" about a job.
core::decision_record job_record(core::job_id job,
                                 std::string action,
                                 std::string target,
                                 std::vector<std::string> reasons);

/// Formats a number with two decimals.
std::string two_decimals(double value);

/// Adds an eviction of the task to the decisions and marks the task.
void evict(task_entry& task,
           std::string const& reason,
           worker_entry const& worker,
           tick_decisions& decisions);

/// @return Work since the last checkpoint, which an eviction now would lose, in
/// core seconds.
double eviction_cost(core::time_point now, task_entry const& task);

} // namespace turmericswitch::placement

#endif
