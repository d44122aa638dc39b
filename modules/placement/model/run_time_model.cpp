#include "placement/model/run_time_model.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Declared times are at most ten times off; outliers beyond are cut.
constexpr double max_factor = 10;
constexpr double step = 0.1;

} // namespace

void run_time_model::finished(kind_index kind,
                              core::duration declared,
                              core::duration actual)
{
    if (declared.count() <= 0)
    {
        return;
    }
    double const ratio = static_cast<double>(actual.count()) /
                         static_cast<double>(declared.count());
    double const seen = std::clamp(ratio, 1 / max_factor, max_factor);
    auto& factor = m_factors.emplace(kind, 1.0).first->second;
    factor += step * (seen - factor);
}

core::duration run_time_model::estimate(kind_index kind,
                                        core::duration declared) const
{
    auto const found = m_factors.find(kind);
    double const factor = found == m_factors.end() ? 1.0 : found->second;
    auto const scaled = static_cast<double>(declared.count()) * factor;
    return core::duration(static_cast<std::int64_t>(scaled));
}

} // namespace turmericswitch::placement
