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

/// Everything the passes of one tick read and change.
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
    urgent_headroom spare;
    processor_use processors;
    /// Workers whose measurements or reservations need the response ladder.
    std::set<std::size_t> under_pressure;
    std::set<std::size_t> held_slots;
};

/// @return A record of part "placement" about a job.
core::decision_record job_record(core::job_id job,
                                 std::string action,
                                 std::string target,
                                 std::vector<std::string> reasons);

/// @return A number with two decimals, for reasons.
std::string two_decimals(double value);

/// Decides to evict a task and marks it.
void evict(task_entry& task,
           std::string const& reason,
           worker_entry const& worker,
           tick_decisions& decisions);

/// @return Time of work that an eviction now would lose, times processors.
double work_at_stake(core::time_point now, task_entry const& task);

} // namespace turmericswitch::placement

#endif
