#include "workflow/dispatch/speed_model.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr double max_image_weight = 100;
constexpr double max_worker_weight = 20;

/// Runs of an image before its average is compared with.
constexpr double min_image_weight = 10;

/// Variance of the logarithm of speed among workers before any run: most are
/// within 30% of the average.
constexpr double prior_variance = 0.09;

/// Lower bound of the variance of run times, since few runs may be equal by
/// chance.
constexpr double min_run_variance = 0.01;

/// Variance between the images on one worker.
constexpr double between_images_variance = 0.02;

constexpr core::duration half_life = std::chrono::minutes(10);

/// A worker is slow if tasks take at least this multiple of the average time.
constexpr double slow_factor = 1.2;

constexpr double errors_of_confidence = 2;

} // namespace

double worker_speed::time_factor() const
{
    return std::exp(log_time);
}

double worker_speed::least_time_factor() const
{
    return std::exp(log_time - errors_of_confidence * error);
}

bool worker_speed::is_slow() const
{
    return least_time_factor() > slow_factor;
}

void speed_model::average::add(double value, double max_weight)
{
    weight = std::min(weight + 1, max_weight);
    mean += (value - mean) / weight;
}

void speed_model::average::add_variance(double value)
{
    variance += (value - variance) / weight;
}

void speed_model::average::decay(core::time_point now)
{
    weight *= std::exp2(-seconds(now - updated) / seconds(half_life));
    updated = now;
}

void speed_model::observe_best_effort(core::task_run const& run,
                                      bool has_full_speed)
{
    auto const [known, is_new] = m_best_effort.try_emplace(run, true);
    known->second = known->second && has_full_speed;
}

void speed_model::observe_slowed(core::task_run const& run)
{
    if (auto const known = m_best_effort.find(run);
        known != m_best_effort.end())
    {
        known->second = false;
    }
}

bool speed_model::is_comparable(core::task_run const& run,
                                core::stage_description const& stage) const
{
    auto const& behaviour = stage.behaviour;
    auto const& constraints = stage.constraints;
    if (behaviour.gang || behaviour.long_running || behaviour.image.empty() ||
        constraints.prefers_one_rack ||
        !constraints.data_rack.value().empty() || run.attempt.value() > 1)
    {
        return false;
    }
    auto const known = m_best_effort.find(run);
    return !behaviour.uses_spare_cpu ||
           (known != m_best_effort.end() && known->second);
}

void speed_model::record_run(core::time_point now,
                             core::run_outcome const& outcome,
                             core::stage_description const& stage,
                             core::duration ran)
{
    if (ran <= core::duration{} || !is_comparable(outcome.run, stage))
    {
        return;
    }
    auto const& name = stage.behaviour.image;
    auto const log_seconds = std::log(seconds(ran).count());
    auto& image = m_images[name];
    if (image.weight >= min_image_weight)
    {
        auto& images = m_workers[outcome.worker];
        for (auto* const each : {&images[name], &images[std::string()]})
        {
            each->decay(now);
            each->add(log_seconds - image.mean, max_worker_weight);
            each->add_variance(image.variance);
        }
    }
    auto const difference = log_seconds - image.mean;
    image.add(log_seconds, max_image_weight);
    image.add_variance(difference * (log_seconds - image.mean));
}

void speed_model::ended(core::task_run const& run)
{
    m_best_effort.erase(run);
}

void speed_model::forget(core::worker_id const& worker)
{
    m_workers.erase(worker);
}

worker_speed speed_model::speed(core::time_point now,
                                core::worker_id const& worker,
                                std::string const& image) const
{
    worker_speed result{0, std::sqrt(prior_variance)};
    auto const images = m_workers.find(worker);
    if (images == m_workers.end())
    {
        return result;
    }
    auto known = images->second.find(image);
    bool const is_same_image = known != images->second.end();
    if (!is_same_image)
    {
        known = images->second.find(std::string());
    }
    auto runs = known->second;
    runs.decay(now);
    auto const of_runs = std::max(runs.variance, min_run_variance);
    auto const of_image = is_same_image ? 0 : between_images_variance;
    // Variance of the mean of the runs.
    auto const of_mean =
        of_runs / std::max(runs.weight, min_run_variance) + of_image;
    auto const weight = prior_variance / (prior_variance + of_mean);
    result.log_time = weight * runs.mean;
    result.error = std::sqrt(weight * of_mean);
    return result;
}

} // namespace turmericswitch::workflow
