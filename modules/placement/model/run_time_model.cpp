#include "placement/model/run_time_model.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Declared times are wrong by a factor of at most ten; outliers are clamped.
constexpr double max_factor = 10;
constexpr double learning_rate = 0.2;
constexpr std::size_t max_entries = 8'192;

} // namespace

void run_time_model::finished(kind_index kind,
                              core::team_id const& team,
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
    if (m_factors.size() >= max_entries)
    {
        // Discards all factors; they are learned again within the hour.
        m_factors.clear();
    }
    auto& factor = m_factors.emplace(std::pair(kind, team), 1.0).first->second;
    factor += learning_rate * (seen - factor);
}

core::duration run_time_model::estimate(kind_index kind,
                                        core::team_id const& team,
                                        core::duration declared) const
{
    auto const found = m_factors.find({kind, team});
    double const factor = found == m_factors.end() ? 1.0 : found->second;
    auto const scaled = static_cast<double>(declared.count()) * factor;
    return core::duration(static_cast<std::int64_t>(scaled));
}

} // namespace turmericswitch::placement
