#include "telemetry/metrics/latency_metric.hpp"

#include "telemetry/metrics/thread_stripe.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/variance.hpp>

#include <algorithm>
#include <mutex>

namespace turmericswitch::telemetry
{

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

namespace
{

using accumulator =
    accumulators::accumulator_set<double,
                                  accumulators::stats<tag::count,
                                                      tag::sum,
                                                      tag::mean,
                                                      tag::variance,
                                                      tag::max,
                                                      tag::extended_p_square>>;

// P-square has 2n + 3 markers and no estimate before each has a sample.
constexpr std::size_t least_samples = 2 * latency_quantiles.size() + 3;

/// Combines the mean and variance of two sets of samples.
void merge(latency_summary& into, accumulator const& other)
{
    auto const count = static_cast<double>(accumulators::count(other));
    auto const before = static_cast<double>(into.count);
    double const total = before + count;
    double const shift = accumulators::mean(other) - into.mean;
    into.variance =
        (before * into.variance + count * accumulators::variance(other) +
         shift * shift * before * count / total) /
        total;
    into.mean += shift * count / total;
    into.sum += accumulators::sum(other);
    into.maximum = std::max(into.maximum, accumulators::max(other));
    into.count += accumulators::count(other);
}

} // namespace

struct alignas(cache_line_bytes) latency_metric::stripe
{
    mutable std::mutex mutex;
    accumulator samples{tag::extended_p_square::probabilities =
                            latency_quantiles};
};

latency_metric::latency_metric()
    : m_stripes(std::make_unique<std::vector<stripe>>(stripe_count))
{
}

latency_metric::~latency_metric() = default;

void latency_metric::add(core::duration sample)
{
    stripe& own = (*m_stripes)[stripe_of_this_thread()];
    double const seconds = std::chrono::duration<double>(sample).count();
    std::lock_guard const lock(own.mutex);
    own.samples(seconds);
}

latency_summary latency_metric::summary() const
{
    latency_summary summary;
    std::vector<double> weighted(latency_quantiles.size());
    double weight = 0;
    for (auto const& one : *m_stripes)
    {
        std::lock_guard const lock(one.mutex);
        auto const count = accumulators::count(one.samples);
        if (count > 0)
        {
            merge(summary, one.samples);
        }
        if (count < least_samples)
        {
            continue;
        }
        weight += static_cast<double>(count);
        auto const markers = accumulators::extended_p_square(one.samples);
        for (std::size_t i = 0; i < weighted.size(); ++i)
        {
            weighted[i] += markers[static_cast<std::ptrdiff_t>(i)] *
                           static_cast<double>(count);
        }
    }
    if (weight > 0)
    {
        for (double const value : weighted)
        {
            summary.quantiles.push_back(value / weight);
        }
    }
    return summary;
}

} // namespace turmericswitch::telemetry
