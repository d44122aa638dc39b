#ifndef TURMERICSWITCH_LOAD_FIGURES_LATENCY_SUMMARY_HPP
#define TURMERICSWITCH_LOAD_FIGURES_LATENCY_SUMMARY_HPP

#include <vector>

namespace turmericswitch::load
{

/// Percentiles in the unit of the values; all 0 without values.
struct latency_summary
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double p999 = 0;
    double max = 0;
};

/// @param sorted Ascending, not empty.
/// @param share From 0 to 1.
/// @return The smallest value that at least this share does not exceed.
double percentile(std::vector<double> const& sorted, double share);

latency_summary summarize(std::vector<double> values);

} // namespace turmericswitch::load

#endif
