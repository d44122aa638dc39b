#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_SHARING_CONTROL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_SHARING_CONTROL_HPP

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
struct spare_task
{
    core::task_run run;
    std::string image;
    core::millicores need;
    core::millicores used;
};

/// What one worker's report tells about tasks that share it.
struct sharing_sample
{
    core::millicores capacity;
    std::vector<serving_task> serving;
    std::vector<spare_task> spare;
};

/// Lets tasks on spare processor time run beside serving tasks as fast as the
/// targets of the latter allow.
///
/// Each sample teaches the interference model. When a serving task nears its
/// target, the tasks that raise its tail most are slowed, by as much as the
/// model says is needed; others go on. When there is headroom again they are
/// sped up. Reports average over half a second, so the control acts once in
/// that time: more often it would react to its own last step.
class sharing_control
{
public:
    /// Takes the sample of a report.
    void update(core::time_point now,
                core::worker_id const& worker,
                sharing_sample const& sample);

    /// @return Share of its speed for a task on spare time, in percent.
    std::uint32_t pace(core::worker_id const& worker,
                       core::task_run const& run) const;

    /// @return Tasks on the worker that have stood still for long.
    std::vector<core::task_run> stalled(core::time_point now,
                                        core::worker_id const& worker) const;

    /// @return The worst tail on the worker, as a multiple of its target, if
    ///         tasks of these images took this many more processors there.
    double tail_with(core::worker_id const& worker,
                     cpu_by_image const& added) const;

    /// @return Processors that a task on spare time will take beyond what the
    ///         last sample shows, at its present pace.
    core::millicores growth(core::worker_id const& worker,
                            core::task_run const& run,
                            core::millicores need) const;

    /// @return Part of their request that serving tasks use, in percent.
    std::int64_t serving_use(core::worker_id const& worker) const;

    void forget(core::worker_id const& worker);

private:
    struct worker_state
    {
        core::time_point sampled;
        sharing_sample last;
        std::map<core::task_run, std::uint32_t> paces;
        /// Since when tasks have had a pace of 0.
        std::map<core::task_run, core::time_point> stalled;
        std::int64_t serving_use = 60;
    };

    void learn(sharing_sample const& sample);
    void slow_down(worker_state& state, serving_task const& task) const;
    /// Slows neighbours of which the model knows nothing.
    void slow_unknown(worker_state& state, serving_task const& task) const;
    void speed_up(worker_state& state) const;
    double worst_after(worker_state const& state,
                       spare_task const& task,
                       std::uint32_t pace) const;
    static void note_stalled(core::time_point now, worker_state& state);
    static void update_use(worker_state& state, sharing_sample const& sample);
    double effect(serving_task const& on,
                  std::string const& image,
                  core::millicores used,
                  core::millicores capacity) const;

    interference_model m_model;
    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::workflow

#endif
