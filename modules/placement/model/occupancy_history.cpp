#include "placement/model/occupancy_history.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Measurements arrive about 30 s late; twice that plus heartbeat retries.
constexpr core::duration kept = std::chrono::seconds(90);
// A worker with a start per second keeps about 100.
constexpr std::size_t max_stays = 512;

} // namespace

void occupancy_history::started(core::time_point at, occupant const& task)
{
    prune(at);
    m_stays.push_back({task, at, core::time_point::max()});
}

void occupancy_history::ended(core::time_point at, core::job_id job)
{
    for (auto& item : m_stays)
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
    for (auto& item : m_stays)
    {
        if (item.task.job != job || item.until != core::time_point::max())
        {
            continue;
        }
        occupant task = item.task;
        task.share = share;
        item.until = at;
        m_stays.push_back({task, at, core::time_point::max()});
        return;
    }
}

std::optional<std::vector<occupant>>
occupancy_history::at(core::time_point when) const
{
    if (when < m_known_since)
    {
        return std::nullopt;
    }
    std::vector<occupant> present;
    for (auto const& item : m_stays)
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
    return m_stays.size();
}

void occupancy_history::prune(core::time_point now)
{
    auto const is_old = [&](stay const& item)
    {
        bool const over = item.until != core::time_point::max();
        return over && item.until + kept < now;
    };
    if (now - kept > m_known_since)
    {
        m_known_since = now - kept;
        std::erase_if(m_stays, is_old);
    }
    if (m_stays.size() > max_stays)
    {
        forget_older_half();
    }
}

void occupancy_history::forget_older_half()
{
    std::vector<core::time_point> ends;
    for (auto const& item : m_stays)
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
    m_known_since = std::max(m_known_since, *half);
    std::erase_if(m_stays,
                  [&](stay const& item) { return item.until <= *half; });
}

} // namespace turmericswitch::placement
