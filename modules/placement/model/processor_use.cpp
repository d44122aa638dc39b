#include "placement/model/processor_use.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// One sample's weight; 6,000 tasks at one report per 10 s forget in seconds,
// 100 tasks in about a minute.
constexpr double weight = 0.002;
constexpr std::size_t min_samples = 500;
// The use at which batch reserves its full average.
constexpr double full_use = 0.9;
constexpr double least_factor = 0.5;

} // namespace

void processor_use::measured(core::millicores used, core::millicores reserved)
{
    ++m_samples;
    m_used += weight * (static_cast<double>(used.value()) - m_used);
    m_reserved += weight * (static_cast<double>(reserved.value()) - m_reserved);
}

double processor_use::batch_factor() const noexcept
{
    if (m_samples < min_samples || m_reserved <= 0)
    {
        return 1;
    }
    return std::clamp(m_used / m_reserved / full_use, least_factor, 1.0);
}

} // namespace turmericswitch::placement
