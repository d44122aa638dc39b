#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_COLOCATION_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_COLOCATION_CONTROLLER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/interference_model.hpp"
#include "workflow/dispatch/pace_controller.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// A new pace of a task on spare processor time.
struct pace_change
{
    core::run_pace now;
    /// In percent.
    std::uint32_t before = 0;
};

/// Lets tasks on spare processor time run beside serving tasks as fast as the
/// targets of the latter allow.
///
/// Each sample teaches the interference model and leads to new paces. Reports
/// average over half a second, so the control acts once in that time: more
/// often it would react to its own last step.
class colocation_controller
{
public:
    /// @param harm_limit Longest time for which a serving task may be over its
    ///        target through its neighbours.
    explicit colocation_controller(core::duration harm_limit);

    colocation_controller(colocation_controller const&) = delete;
    colocation_controller& operator=(colocation_controller const&) = delete;

    /// Takes the sample of a report.
    ///
    /// @return The paces that it changed.
    std::vector<pace_change> update(core::time_point now,
                                    core::worker_id const& worker,
                                    colocation_sample const& sample);

    /// @return Share of its speed for a task on spare time, in percent.
    std::uint32_t pace(core::worker_id const& worker,
                       core::task_run const& run) const;

    /// @return Tasks on the worker that have stood still for long.
    std::vector<core::task_run> stalled(core::time_point now,
                                        core::worker_id const& worker) const;

    /// @return The worst tail on the worker, as a multiple of its target, if
    ///         tasks of these images took this many more processors there.
    double predicted_tail(core::worker_id const& worker,
                          cpu_by_image const& added) const;

    /// @return Processors that a task on spare time will take beyond what the
    ///         last sample shows, at its present pace.
    core::millicores expected_growth(core::worker_id const& worker,
                                     core::task_run const& run,
                                     core::millicores need) const;

    /// @return True while a serving task there has been over its target for
    ///         long, whatever the model says of the reason.
    bool is_over_target_for_long(core::time_point now,
                                 core::worker_id const& worker) const;

    /// @return Part of their request that serving tasks use, in percent.
    std::int64_t serving_use(core::worker_id const& worker) const;

    void forget(core::worker_id const& worker);

private:
    struct worker_state
    {
        core::time_point sampled;
        colocation_sample last;
        pace_state paces;
        std::int64_t serving_use = 60;
        /// How far the logarithm of each serving task's tail is above that of
        /// its image: tasks of one image have loads of their own, which swing.
        std::map<core::task_run, double> offsets;
    };

    void learn(worker_state& state, colocation_sample const& sample);
    static void update_serving_use(worker_state& state,
                                   colocation_sample const& sample);

    interference_model m_model;
    pace_controller m_controller;
    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::workflow

#endif
