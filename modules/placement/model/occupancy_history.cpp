#include "placement/model/occupancy_history.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Measurements arrive about 30 s late. Covers twice that, plus retries of the
// heartbeat that carries them.
constexpr core::duration retention = std::chrono::seconds(90);
// A worker with one start per second needs about 100 entries.
constexpr std::size_t max_occupancies = 512;

} // namespace

void occupancy_history::started(core::time_point at, occupant const& task)
{
    prune(at);
    m_occupancies.push_back({task, at, core::time_point::max()});
}

void occupancy_history::ended(core::time_point at, core::job_id job)
{
    for (auto& item : m_occupancies)
    {
        if (item.task.job == job && item.until == core::time_point::max())
        {
            item.until = at;
        }
    }
    prune(at);
}

void occupancy_history::resized(core::time_point at,
                                core::job_id job,
                                double share)
{
    for (auto& item : m_occupancies)
    {
        if (item.task.job != job || item.until != core::time_point::max())
        {
            continue;
        }
        occupant task = item.task;
        task.share = share;
        item.until = at;
        m_occupancies.push_back({task, at, core::time_point::max()});
        return;
    }
}

std::optional<std::vector<occupant>>
occupancy_history::at(core::time_point when) const
{
    if (when < m_complete_since)
    {
        return std::nullopt;
    }
    std::vector<occupant> present;
    for (auto const& item : m_occupancies)
    {
        if (item.from <= when && when < item.until)
        {
            present.push_back(item.task);
        }
    }
    return present;
}

std::size_t occupancy_history::size() const noexcept
{
    return m_occupancies.size();
}

void occupancy_history::prune(core::time_point now)
{
    auto const is_old = [&](occupancy const& item)
    {
        bool const over = item.until != core::time_point::max();
        return over && item.until + retention < now;
    };
    if (now - retention > m_complete_since)
    {
        m_complete_since = now - retention;
        std::erase_if(m_occupancies, is_old);
    }
    if (m_occupancies.size() > max_occupancies)
    {
        drop_older_half();
    }
}

void occupancy_history::drop_older_half()
{
    std::vector<core::time_point> ends;
    for (auto const& item : m_occupancies)
    {
        if (item.until != core::time_point::max())
        {
            ends.push_back(item.until);
        }
    }
    if (ends.empty())
    {
        return;
    }
    auto const half =
        ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
    std::nth_element(ends.begin(), half, ends.end());
    m_complete_since = std::max(m_complete_since, *half);
    std::erase_if(m_occupancies,
                  [&](occupancy const& item) { return item.until <= *half; });
}

} // namespace turmericswitch::placement
