#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_COLOCATION_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_COLOCATION_CONTROLLER_HPP

#include "core/messages/workflow.hpp"
#include "overload/share/processor_share.hpp"
#include "workflow/dispatch/interference_model.hpp"
#include "workflow/dispatch/pace_controller.hpp"
#include "workflow/dispatch/serving_use_estimate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::workflow
{

/// A change of the pace of a best-effort task.
struct pace_change
{
    core::run_pace now;
    /// Previous pace in percent.
    std::uint32_t before = 0;
};

/// Runs best-effort tasks beside serving tasks as fast as the latency targets
/// of the serving tasks allow, on all workers.
///
/// Each sample updates the interference model and then the paces of its worker.
/// Reports are averages over half a second, so samples within half a second of
/// the last one are ignored; otherwise the controller would react to the effect
/// of its own last step.
class colocation_controller
{
public:
    /// @param harm_limit Longest time for which best-effort tasks may keep a
    ///        serving task over its target.
    explicit colocation_controller(core::duration harm_limit);

    /// Returns the rank of a best-effort task; `nullopt` for one that must not
    /// be slowed in favour of others.
    using rank_hook =
        std::function<std::optional<std::uint64_t>(core::task_run const&)>;

    /// Shares the CPU that best-effort tasks get by the ranks of the tasks.
    void share_by(rank_hook rank);

    colocation_controller(colocation_controller const&) = delete;
    colocation_controller& operator=(colocation_controller const&) = delete;

    /// @return True if enough time has passed since the worker's last sample.
    bool is_sample_due(core::time_point now,
                       core::worker_id const& worker) const;

    /// Processes the sample of a report.
    ///
    /// @return The paces that changed.
    std::vector<pace_change> update(core::time_point now,
                                    core::worker_id const& worker,
                                    colocation_sample const& sample);

    /// @return Pace of a best-effort task in percent of full speed: the lower
    /// of
    ///         those for the latency targets and for the share of the CPU.
    std::uint32_t pace_to_order(core::worker_id const& worker,
                                core::task_run const& run) const;

    /// @return Pace for the latency targets, in percent of full speed. A task
    ///         below it leaves its CPU to other best-effort tasks there.
    std::uint32_t pace(core::worker_id const& worker,
                       core::task_run const& run) const;

    /// @return Best-effort tasks on the worker whose pace has been 0 for so
    ///         long that they should move to another worker.
    std::vector<core::task_run> stalled(core::time_point now,
                                        core::worker_id const& worker) const;

    /// @param added Additional CPU use by image.
    /// @return Predicted worst tail latency on the worker with the additional
    ///         use, as a multiple of its target.
    double predicted_tail(core::worker_id const& worker,
                          cpu_by_image const& added) const;

    /// @return True if recent samples show how best-effort tasks of the image
    ///         affect a serving task on the worker.
    bool is_effect_known(core::time_point now,
                         core::worker_id const& worker,
                         std::string const& image) const;

    /// @return CPU that a best-effort task is expected to use at its present
    ///         pace in excess of its use in the last sample.
    core::millicores expected_growth(core::worker_id const& worker,
                                     core::task_run const& run,
                                     core::millicores need) const;

    /// @return True if a serving task on the worker has been over its target
    ///         for so long that the model is not trusted.
    bool is_over_target_for_long(core::time_point now,
                                 core::worker_id const& worker) const;

    /// @return Estimate of the CPU that serving tasks on the worker use, in
    ///         percent of their requests.
    std::int64_t serving_use(core::worker_id const& worker) const;

    void forget(core::worker_id const& worker);

private:
    struct worker_state
    {
        core::time_point sampled;
        colocation_sample last;
        pace_state paces;
        overload::processor_sharing sharing;
        serving_use_estimate serving_use;
        /// Difference between the logarithm of each serving task's tail and the
        /// prediction for its image: the loads of tasks of one image differ and
        /// change over time.
        std::map<core::task_run, double> offsets;
    };

    void learn(core::time_point now,
               worker_state& state,
               colocation_sample const& sample);
    void share(core::time_point now, worker_state& state) const;
    static std::uint32_t pace_to_order(worker_state const& state,
                                       core::task_run const& run);

    interference_model m_model;
    pace_controller m_controller;
    /// Empty if the CPU is not shared by rank.
    rank_hook m_rank;
    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::workflow

#endif
