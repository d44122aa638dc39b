#ifndef TURMERICSWITCH_TELEMETRY_METRICS_LATENCY_METRIC_HPP
#define TURMERICSWITCH_TELEMETRY_METRICS_LATENCY_METRIC_HPP

#include "core/types/units.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace turmericswitch::telemetry
{

/// Quantiles that every latency metric estimates.
constexpr std::array<double, 4> latency_quantiles = {0.5, 0.9, 0.99, 0.999};

/// A state of a latency metric; times in seconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    double variance = 0;
    double maximum = 0;
    /// Estimates for latency_quantiles; empty with too few samples.
    std::vector<double> quantiles;
};

/// Distribution of a time since the start of the process. Any thread may add
/// samples; each stripe of threads has its own accumulators and lock.
///
/// Count, sum and maximum are exact. Quantiles are P-square estimates, averaged
/// over the stripes by their counts, which assumes that threads see alike
/// requests.
class latency_metric
{
public:
    latency_metric();
    ~latency_metric();

    latency_metric(latency_metric const&) = delete;
    latency_metric& operator=(latency_metric const&) = delete;

    void add(core::duration sample);

    latency_summary summary() const;

private:
    struct stripe;
    std::unique_ptr<std::vector<stripe>> m_stripes;
};

} // namespace turmericswitch::telemetry

#endif
