#include "placement/policy/failure_tracker.hpp"

#include <algorithm>
#include <set>

namespace turmericswitch::placement
{

namespace
{

constexpr core::duration window = std::chrono::minutes(10);
constexpr std::size_t jobs_to_quarantine = 3;
constexpr std::size_t max_recent = 32;
constexpr core::duration first_quarantine = std::chrono::seconds(60);
// Limits a quarantine to 64 minutes, so that a worker repaired during the night
// is used again the same night.
constexpr unsigned max_doublings = 6;

} // namespace

bool failure_tracker::failed(core::time_point now,
                             std::size_t slot,
                             core::job_id job,
                             bool counts_against_worker)
{
    if (!counts_against_worker)
    {
        return false;
    }
    auto& recent = m_records[slot].recent;
    recent.push_back({now, job});
    while (recent.size() > max_recent || recent.front().at + window < now)
    {
        recent.pop_front();
    }
    std::set<core::job_id> jobs;
    for (auto const& item : recent)
    {
        jobs.insert(item.job);
    }
    return jobs.size() >= jobs_to_quarantine;
}

void failure_tracker::succeeded(std::size_t slot)
{
    auto const found = m_records.find(slot);
    if (found != m_records.end() && !found->second.quarantined_until)
    {
        found->second.recent.clear();
    }
}

core::duration failure_tracker::quarantine(core::time_point now,
                                           std::size_t slot)
{
    auto& entry = m_records[slot];
    auto const doublings = std::min(entry.quarantines, max_doublings);
    core::duration const length = first_quarantine * (1 << doublings);
    ++entry.quarantines;
    entry.quarantined_until = now + length;
    return length;
}

std::vector<std::size_t>
failure_tracker::take_ended_quarantines(core::time_point now)
{
    std::vector<std::size_t> slots;
    for (auto& [slot, entry] : m_records)
    {
        if (entry.quarantined_until && *entry.quarantined_until <= now)
        {
            entry.quarantined_until.reset();
            slots.push_back(slot);
        }
    }
    return slots;
}

std::vector<core::job_id>
failure_tracker::jobs_failed_on(std::size_t slot) const
{
    std::vector<core::job_id> jobs;
    auto const found = m_records.find(slot);
    if (found == m_records.end())
    {
        return jobs;
    }
    for (auto const& item : found->second.recent)
    {
        jobs.push_back(item.job);
    }
    return jobs;
}

void failure_tracker::forget(std::size_t slot)
{
    m_records.erase(slot);
}

} // namespace turmericswitch::placement
