#include "placement/model/processor_use.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Weight of one sample in the moving average. With one report per task and
// 10 s, the average follows within seconds for 6,000 tasks and within about a
// minute for 100 tasks.
constexpr double sample_weight = 0.002;
constexpr std::size_t min_samples = 500;
// Utilization at and above which batch reserves its full average use.
constexpr double full_utilization = 0.9;
constexpr double min_factor = 0.5;

} // namespace

void processor_use::measured(core::millicores used, core::millicores reserved)
{
    ++m_samples;
    m_used += sample_weight * (static_cast<double>(used.value()) - m_used);
    m_reserved +=
        sample_weight * (static_cast<double>(reserved.value()) - m_reserved);
}

double processor_use::batch_factor() const noexcept
{
    if (m_samples < min_samples || m_reserved <= 0)
    {
        return 1;
    }
    return std::clamp(m_used / m_reserved / full_utilization, min_factor, 1.0);
}

} // namespace turmericswitch::placement
