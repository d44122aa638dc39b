#include "workflow/dispatch/pace_controller.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Part of the target above which tasks on spare time are slowed: reports are
/// half a second old, and the tail may go on rising for that long.
constexpr std::int64_t slow_above_percent = 92;

/// Part of the target below which they are sped up again.
constexpr std::int64_t speed_up_below_percent = 80;

constexpr std::uint32_t full_share = 100;
constexpr std::uint32_t growth = 20;

/// A smaller share does hardly any work and still disturbs; it becomes 0.
constexpr std::uint32_t smallest_share = 10;

/// Tasks on spare time that get less than this part of what they ask for show
/// that the spare time is used up.
constexpr std::int64_t scarce_below_percent = 85;
constexpr std::int64_t plenty_above_percent = 96;

/// Bounds of the estimate; serving tasks are sized for their peak.
constexpr std::int64_t least_use = 20;
constexpr std::int64_t most_use = 100;
constexpr std::int64_t use_step = 5;

} // namespace

void pace_controller::update(core::worker_id const& worker,
                             sharing_sample const& sample)
{
    auto& state = m_workers[worker];
    state.worst_tail = sample.worst_tail_percent;
    update_share(state, sample);
    update_use(state, sample);
}

void pace_controller::update_share(worker_state& state,
                                   sharing_sample const& sample)
{
    auto const tail = sample.worst_tail_percent;
    if (tail > slow_above_percent)
    {
        // The further beyond the target, the larger the cut.
        auto const kept = tail > full_share ? 40U : 70U;
        state.share = state.share * kept / full_share;
        state.share = state.share < smallest_share ? 0 : state.share;
    }
    else if (tail < speed_up_below_percent)
    {
        state.share = std::min(state.share + growth, full_share);
    }
}

void pace_controller::update_use(worker_state& state,
                                 sharing_sample const& sample)
{
    if (sample.spare_asked.value() == 0)
    {
        return;
    }
    auto const got =
        sample.spare_used.value() * 100 / sample.spare_asked.value();
    if (got < scarce_below_percent)
    {
        state.serving_use = std::min(state.serving_use + use_step, most_use);
    }
    else if (got > plenty_above_percent)
    {
        state.serving_use = std::max(state.serving_use - use_step, least_use);
    }
}

std::uint32_t pace_controller::share(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? worker_state{}.share
                                    : known->second.share;
}

std::int64_t pace_controller::serving_use(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? worker_state{}.serving_use
                                    : known->second.serving_use;
}

std::int64_t pace_controller::worst_tail(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? 0 : known->second.worst_tail;
}

void pace_controller::forget(core::worker_id const& worker)
{
    m_workers.erase(worker);
}

} // namespace turmericswitch::workflow
