#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_SPEED_MODEL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_SPEED_MODEL_HPP

#include "core/messages/workflow.hpp"

#include <map>
#include <string>
#include <utility>

namespace turmericswitch::workflow
{

/// Run time on a worker compared with its peers.
struct worker_speed
{
    /// Logarithm of the expected run time divided by that on an average worker.
    double log_time = 0;
    /// Standard error of `log_time`.
    double error = 0;

    /// @return Expected run time in units of that on an average worker.
    double time_factor() const;

    /// @return Lower bound of the time factor with high probability.
    double least_time_factor() const;

    /// @return True if the worker is slower than most with high probability.
    bool is_slow() const;
};

/// Learns how fast each worker runs the tasks of each image.
///
/// The estimate combines the runs with a prior of equal speed, weighted by
/// their variances, so a few runs or noisy ones change little. Old runs lose
/// weight, so a worker that is avoided is tried again. The model is not
/// replicated: a new leader learns it from the next ends.
class speed_model
{
public:
    /// Records whether a best-effort run had full pace and the CPU that it
    /// requests when its worker reported.
    void observe_best_effort(core::task_run const& run, bool has_full_speed);

    /// Records that a best-effort run, if it was observed, is slowed.
    void observe_slowed(core::task_run const& run);

    /// Records a run that ended `done`. Runs say nothing about the worker's
    /// speed and are ignored if they may have resumed from a checkpoint, depend
    /// on other tasks or on the distance of data, or were best-effort and not
    /// seen at full speed in all reports.
    void record_run(core::time_point now,
                    core::run_outcome const& outcome,
                    core::stage_description const& stage,
                    core::duration ran);

    /// Must be called after each end of a run.
    void ended(core::task_run const& run);

    /// Forgets a worker, for example after its restart.
    void forget(core::worker_id const& worker);

    worker_speed speed(core::time_point now,
                       core::worker_id const& worker,
                       std::string const& image) const;

private:
    struct average
    {
        double mean = 0;
        /// Of the run times of an image; for a worker that of the images it
        /// ran.
        double variance = 0;
        double weight = 0;
        core::time_point updated;

        void add(double value, double max_weight);
        void add_variance(double value);
        void decay(core::time_point now);
    };

    bool is_comparable(core::task_run const& run,
                       core::stage_description const& stage) const;

    /// Logarithms of the run times in seconds.
    std::map<std::string, average> m_images;
    /// Differences from the image's average, by image; those of all images
    /// together under the empty name.
    std::map<core::worker_id, std::map<std::string, average>> m_workers;
    /// Best-effort runs: true if all reports so far showed full speed.
    std::map<core::task_run, bool> m_best_effort;
};

} // namespace turmericswitch::workflow

#endif
