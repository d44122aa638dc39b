#include "load/figures/latency_summary.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

namespace turmericswitch::load
{

double percentile(std::vector<double> const& sorted, double share)
{
    assert(!sorted.empty());
    // Floating-point error can put the product slightly above an integer
    // rank; without the tolerance ceil() would give the next rank.
    constexpr double tolerance = 1e-9;
    auto const rank = static_cast<std::size_t>(std::ceil(
        share * static_cast<double>(sorted.size()) * (1.0 - tolerance)));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

latency_summary summarize(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::sort(values.begin(), values.end());
    return {percentile(values, 0.5),
            percentile(values, 0.9),
            percentile(values, 0.99),
            percentile(values, 0.999),
            values.back()};
}

} // namespace turmericswitch::load
