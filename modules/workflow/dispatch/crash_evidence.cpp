#include "workflow/dispatch/crash_evidence.hpp"

#include <chrono>

namespace turmericswitch::workflow
{

namespace
{

/// Many times the interval of reports.
constexpr core::duration forget_after = std::chrono::minutes(1);

} // namespace

void crash_evidence::add(core::time_point now,
                         std::vector<core::crashed_incarnation> const& reported)
{
    for (auto const& [id, established] : reported)
    {
        auto& known = m_crashes[id];
        known.established.insert(established.begin(), established.end());
        known.reported_at = now;
    }
}

std::set<core::task_run> const*
crash_evidence::find(core::worker_id const& worker,
                     core::incarnation life) const
{
    if (m_crashes.empty())
    {
        return nullptr;
    }
    auto const known = m_crashes.find({worker, life});
    return known == m_crashes.end() ? nullptr : &known->second.established;
}

void crash_evidence::prune(core::time_point now)
{
    std::erase_if(m_crashes,
                  [now](auto const& item)
                  { return now - item.second.reported_at > forget_after; });
}

} // namespace turmericswitch::workflow
