#include "overload/order/class_fairness.hpp"

#include <algorithm>
#include <vector>

namespace turmericswitch::overload
{

namespace
{

/// Ended jobs that are compared: enough for several of the largest tenth.
constexpr std::size_t compared_jobs = 60;

/// With fewer jobs the largest tenth is not known.
constexpr std::size_t min_jobs = 10;

} // namespace

void class_fairness::record_end(core::queue_address const& queue,
                                double work,
                                bool in_time)
{
    auto& state = m_queues[queue];
    auto& recent = state.recent;
    recent.push_back({work, in_time});
    if (recent.size() > compared_jobs)
    {
        recent.pop_front();
    }
    std::vector<double> sizes;
    sizes.reserve(recent.size());
    for (auto const& each : recent)
    {
        sizes.push_back(each.work);
    }
    auto const large =
        sizes.begin() + static_cast<std::ptrdiff_t>(sizes.size() * 9 / 10);
    std::nth_element(sizes.begin(), large, sizes.end());
    state.large_work = *large;
    std::size_t all_in_time = 0;
    std::size_t large_jobs = 0;
    std::size_t large_in_time = 0;
    for (auto const& each : recent)
    {
        bool const is_large = each.work >= state.large_work;
        all_in_time += each.in_time ? 1 : 0;
        large_jobs += is_large ? 1 : 0;
        large_in_time += is_large && each.in_time ? 1 : 0;
    }
    state.are_large_neglected =
        recent.size() >= min_jobs &&
        2 * large_in_time * recent.size() < all_in_time * large_jobs;
}

bool class_fairness::is_protected(core::queue_address const& queue,
                                  double work) const
{
    auto const known = m_queues.find(queue);
    return known != m_queues.end() && known->second.are_large_neglected &&
           work >= known->second.large_work;
}

} // namespace turmericswitch::overload
