#include "placement/policy/urgent_headroom.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// What was seen in this period and the one before it counts.
constexpr core::duration period = std::chrono::minutes(20);
constexpr std::size_t fewest_workers = 3;
constexpr std::size_t most_workers = 8;
// On a small fleet a fixed number of workers would close most of it to batch.
constexpr std::size_t workers_per_room = 3;

double missing_part(core::resources const& room,
                    core::resources const& open,
                    core::resources const& capacity)
{
    auto const ratio = [](std::int64_t part, std::int64_t whole)
    {
        return static_cast<double>(part) /
               static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    auto const missing = core::component_max(room - open, core::resources{});
    return std::max(ratio(missing.cpu.value(), capacity.cpu.value()),
                    ratio(missing.memory.value(), capacity.memory.value()));
}

} // namespace

void urgent_headroom::started(core::resources const& need)
{
    m_need = core::component_max(m_need, need);
    ++m_this_tick;
}

void urgent_headroom::age(core::time_point now, fleet const& workers)
{
    m_open_workers = workers.open_workers();
    m_most = std::max(m_most, m_this_tick);
    m_this_tick = 0;
    if (now - m_period_start >= period)
    {
        m_period_start = now;
        m_earlier_need = m_need;
        m_earlier_most = m_most;
        m_need = {};
        m_most = 0;
    }
    choose(workers);
}

void urgent_headroom::choose(fleet const& workers)
{
    m_kept.clear();
    auto const wanted = this->workers();
    auto const room = need();
    std::size_t with_room = 0;
    auto slot = workers.index().next_fit(0, room);
    for (; slot && with_room < wanted; ++with_room)
    {
        slot = workers.index().next_fit(*slot + 1, room);
    }
    if (with_room >= wanted)
    {
        return;
    }
    std::vector<std::pair<double, std::size_t>> others;
    for (std::size_t i = 0; i < workers.slots(); ++i)
    {
        auto const& worker = workers.worker(i);
        auto const& capacity = worker.description.capacity;
        auto const open = workers.open_capacity(worker);
        bool const could = open.cpu.value() >= 0 &&
                           core::fits_in(room, capacity) &&
                           !core::fits_in(room, open);
        if (could)
        {
            others.emplace_back(missing_part(room, open, capacity), i);
        }
    }
    std::sort(others.begin(), others.end());
    auto const count = std::min(others.size(), wanted - with_room);
    for (std::size_t i = 0; i < count; ++i)
    {
        m_kept.insert(others[i].second);
    }
}

bool urgent_headroom::is_kept(std::size_t slot) const
{
    return m_kept.contains(slot);
}

core::resources urgent_headroom::need() const noexcept
{
    return core::component_max(m_need, m_earlier_need);
}

std::size_t urgent_headroom::workers() const noexcept
{
    auto const most = std::max(m_most, m_earlier_most);
    if (most == 0)
    {
        return 0;
    }
    auto const share =
        std::max<std::size_t>(1, m_open_workers / workers_per_room);
    return std::min(share, std::clamp(most, fewest_workers, most_workers));
}

} // namespace turmericswitch::placement
