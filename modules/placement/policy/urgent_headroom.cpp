#include "placement/policy/urgent_headroom.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// The need and the starts of this period and the one before it count.
constexpr core::duration period = std::chrono::minutes(20);
constexpr std::size_t min_workers = 3;
constexpr std::size_t max_workers = 8;
// At most one worker in this many is kept for urgent jobs: on a small fleet a
// fixed number would exclude batch from most workers.
constexpr std::size_t workers_per_kept_worker = 3;

double missing_share(core::resources const& job_need,
                     core::resources const& open,
                     core::resources const& capacity)
{
    auto const ratio = [](std::int64_t part, std::int64_t whole)
    {
        return static_cast<double>(part) /
               static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    auto const missing =
        core::component_max(job_need - open, core::resources{});
    return std::max(ratio(missing.cpu.value(), capacity.cpu.value()),
                    ratio(missing.memory.value(), capacity.memory.value()));
}

} // namespace

void urgent_headroom::started(core::resources const& need)
{
    m_largest_need = core::component_max(m_largest_need, need);
    ++m_starts_this_tick;
}

void urgent_headroom::begin_tick(core::time_point now, fleet const& workers)
{
    m_schedulable_workers = workers.schedulable_workers();
    m_peak_starts = std::max(m_peak_starts, m_starts_this_tick);
    m_starts_this_tick = 0;
    if (now - m_period_start >= period)
    {
        m_period_start = now;
        m_previous_largest_need = m_largest_need;
        m_previous_peak_starts = m_peak_starts;
        m_largest_need = {};
        m_peak_starts = 0;
    }
    choose_kept_slots(workers);
}

void urgent_headroom::choose_kept_slots(fleet const& workers)
{
    m_kept_slots.clear();
    auto const wanted = this->worker_count();
    auto const job_need = need();
    std::size_t with_headroom = 0;
    auto slot = workers.index().next_fit(0, job_need);
    for (; slot && with_headroom < wanted; ++with_headroom)
    {
        slot = workers.index().next_fit(*slot + 1, job_need);
    }
    if (with_headroom >= wanted)
    {
        return;
    }
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t i = 0; i < workers.slots(); ++i)
    {
        auto const& worker = workers.worker(i);
        auto const& capacity = worker.description.capacity;
        auto const open = workers.available_capacity(worker);
        bool const is_candidate = open.cpu.value() >= 0 &&
                                  core::fits_in(job_need, capacity) &&
                                  !core::fits_in(job_need, open);
        if (is_candidate)
        {
            candidates.emplace_back(missing_share(job_need, open, capacity), i);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    auto const count = std::min(candidates.size(), wanted - with_headroom);
    for (std::size_t i = 0; i < count; ++i)
    {
        m_kept_slots.insert(candidates[i].second);
    }
}

bool urgent_headroom::is_kept(std::size_t slot) const
{
    return m_kept_slots.contains(slot);
}

core::resources urgent_headroom::need() const noexcept
{
    return core::component_max(m_largest_need, m_previous_largest_need);
}

std::size_t urgent_headroom::worker_count() const noexcept
{
    auto const peak_starts = std::max(m_peak_starts, m_previous_peak_starts);
    if (peak_starts == 0)
    {
        return 0;
    }
    auto const share = std::max<std::size_t>(
        1, m_schedulable_workers / workers_per_kept_worker);
    return std::min(share, std::clamp(peak_starts, min_workers, max_workers));
}

} // namespace turmericswitch::placement
