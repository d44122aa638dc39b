#ifndef TURMERICSWITCH_LOAD_FIGURES_LATENCY_SUMMARY_HPP
#define TURMERICSWITCH_LOAD_FIGURES_LATENCY_SUMMARY_HPP

#include <vector>

namespace turmericswitch::load
{

/// Percentiles, in the unit of the values. All are 0 if there are no values.
struct latency_summary
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double p999 = 0;
    double max = 0;
};

/// @param sorted Ascending, not empty.
/// @param share Rank as a share of all values, from 0 to 1.
/// @return The nearest-rank percentile: the smallest value such that at least
/// this share of the values is less than or equal to it.
double percentile(std::vector<double> const& sorted, double share);

latency_summary summarize(std::vector<double> values);

} // namespace turmericswitch::load

#endif
