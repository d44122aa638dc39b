#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/interference_model.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Pace of a task that is not slowed, in percent.
constexpr std::uint32_t full_pace = 100;

/// A running task with a latency target.
struct serving_task
{
    core::task_run run;
    std::string image;
    /// Tail latency as a multiple of the target.
    double tail = 0;
};

/// A running best-effort task, which uses spare CPU.
struct best_effort_task
{
    core::task_run run;
    std::string image;
    /// Requested CPU.
    core::millicores need;
    /// CPU used in the last report.
    core::millicores used;
};

/// The serving and best-effort tasks in one report of a worker.
struct colocation_sample
{
    core::millicores capacity;
    std::vector<serving_task> serving;
    std::vector<best_effort_task> best_effort;
};

/// State of the control of one worker.
struct pace_state
{
    /// Paces of best-effort tasks in percent of full speed; a task without an
    /// entry runs at full speed.
    std::map<core::task_run, std::uint32_t> paces;
    /// Time of the last sample.
    core::time_point last_sample;
    /// Since when serving tasks may have been over their target: the time of
    /// the sample before the first one above it.
    std::map<core::task_run, core::time_point> over_target_since;
    /// Since when best-effort tasks have had a pace of 0.
    std::map<core::task_run, core::time_point> stalled;
};

/// Decides the pace of the best-effort tasks on one worker: the share of their
/// full speed at which they may run.
///
/// When the tail latency of a serving task nears its target, the controller
/// slows the neighbours with the largest effect for the CPU they use, by as
/// much as the interference model predicts to be necessary. With headroom it
/// speeds them up again. If a serving task stays over its target, the model may
/// be wrong about a neighbour: first those are stopped of which it is not sure
/// that they are harmless, then all, well before the harm limit.
class pace_controller
{
public:
    /// @param model Must outlive the object.
    /// @param harm_limit Longest time for which best-effort tasks may keep a
    ///        serving task over its target.
    pace_controller(interference_model const& model, core::duration harm_limit);

    /// Updates the paces for a new sample.
    void decide(core::time_point now,
                colocation_sample const& sample,
                pace_state& state) const;

    /// @return True if a serving task has been over its target for so long that
    ///         the model is not trusted.
    bool is_over_target_for_long(core::time_point now,
                                 pace_state const& state) const;

    /// @param image Image of the neighbour.
    /// @param used CPU that the neighbour uses.
    /// @param capacity CPU of the worker.
    /// @return Predicted rise of the logarithm of the serving task's tail.
    double effect(serving_task const& on,
                  std::string const& image,
                  core::millicores used,
                  core::millicores capacity) const;

private:
    /// Factors between 0 and 1 for the paces of tasks that are slowed.
    using pace_scales = std::map<core::task_run, double>;

    void slow_down_for(serving_task const& task,
                       colocation_sample const& sample,
                       pace_scales& scales) const;
    void slow_down_unknown(serving_task const& task,
                           colocation_sample const& sample,
                           pace_scales& scales) const;
    bool is_part_of_limit_over(core::time_point now,
                               core::time_point since,
                               std::int64_t part_percent) const;
    /// Stops the neighbours of tasks that have been over their target for too
    /// long.
    ///
    /// @return True if all neighbours were stopped.
    bool stop_distrusted(core::time_point now,
                         colocation_sample const& sample,
                         pace_state const& state,
                         pace_scales& scales) const;
    /// @return True if the model is sure that the neighbour has no effect on
    ///         the task.
    bool is_harmless(serving_task const& task,
                     best_effort_task const& neighbour,
                     core::millicores capacity) const;
    /// Speeds up the tasks that have no entry in `scales`.
    void speed_up(colocation_sample sample,
                  pace_scales const& scales,
                  pace_state& state) const;
    double worst_tail_after(colocation_sample const& sample,
                            best_effort_task const& task,
                            core::millicores added) const;

    interference_model const& m_model;
    core::duration m_harm_limit;
};

} // namespace turmericswitch::workflow

#endif
