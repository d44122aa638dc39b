#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/interference_model.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// A running task with a latency target.
struct serving_task
{
    core::task_run run;
    std::string image;
    /// Tail latency as a multiple of the target.
    double tail = 0;
};

/// A running task on spare processor time.
struct best_effort_task
{
    core::task_run run;
    std::string image;
    core::millicores need;
    core::millicores used;
};

/// What one worker's report tells about tasks that share it.
struct colocation_sample
{
    core::millicores capacity;
    std::vector<serving_task> serving;
    std::vector<best_effort_task> best_effort;
};

/// Paces on one worker.
struct pace_state
{
    /// In percent; a task without an entry runs at full speed.
    std::map<core::task_run, std::uint32_t> paces;
    /// Time of the last sample.
    core::time_point last_sample;
    /// Since when serving tasks may have been over their target: the sample
    /// before the first one that shows it.
    std::map<core::task_run, core::time_point> over_target_since;
    /// Since when tasks have had a pace of 0.
    std::map<core::task_run, core::time_point> stalled;
};

/// Decides how fast tasks on spare processor time may work on one worker.
///
/// When a serving task nears its target, the neighbours that raise its tail
/// most for the work they do are slowed, by as much as the model says is
/// needed. When there is headroom again they are sped up. A serving task that
/// stays over its target shows that the model is wrong about a neighbour; then
/// all of them stop, well before the limit on harm.
class pace_controller
{
public:
    /// @param model Must outlive the object.
    /// @param harm_limit Longest time for which a serving task may be over its
    ///        target through its neighbours.
    pace_controller(interference_model const& model, core::duration harm_limit);

    void decide(core::time_point now,
                colocation_sample const& sample,
                pace_state& state) const;

    /// @return True while a serving task has been over its target for so long
    ///         that the model is not trusted.
    bool is_over_target_for_long(core::time_point now,
                                 pace_state const& state) const;

    /// @return By how much the neighbour raises the logarithm of the task's
    ///         tail with this use of processors.
    double effect(serving_task const& on,
                  std::string const& image,
                  core::millicores used,
                  core::millicores capacity) const;

private:
    using pace_scales = std::map<core::task_run, double>;

    void slow_down_for(serving_task const& task,
                       colocation_sample const& sample,
                       pace_scales& scales) const;
    void slow_down_unknown(serving_task const& task,
                           colocation_sample const& sample,
                           pace_scales& scales) const;
    void speed_up(colocation_sample sample, pace_state& state) const;
    double worst_tail_after(colocation_sample const& sample,
                            best_effort_task const& task,
                            core::millicores added) const;

    interference_model const& m_model;
    core::duration m_harm_limit;
};

} // namespace turmericswitch::workflow

#endif
