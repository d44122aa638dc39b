#include "workflow/agent/begun_runs.hpp"

#include <algorithm>
#include <set>

namespace turmericswitch::workflow
{

void begun_runs::add(core::task_run const& run, std::uint64_t first_sync)
{
    m_runs.try_emplace(run, begun_run{first_sync});
}

bool begun_runs::contains(core::task_run const& run) const
{
    return m_runs.contains(run);
}

bool begun_runs::is_unlisted(core::task_run const& run) const
{
    auto const known = m_runs.find(run);
    return known != m_runs.end() && known->second.is_unlisted;
}

void begun_runs::remove(core::task_run const& run)
{
    m_runs.erase(run);
}

std::vector<core::task_run> begun_runs::listed(std::uint64_t sync,
                                               core::worker_runs const& lists,
                                               bool is_whole)
{
    std::set<core::task_run> running;
    for (auto const& each : lists.running)
    {
        running.insert(each.run);
        add(each.run, sync);
    }
    for (auto const& each : lists.ended)
    {
        m_runs.erase(each.run);
    }
    std::vector<core::task_run> dropped;
    for (auto each = m_runs.begin(); each != m_runs.end();)
    {
        auto& [run, state] = *each;
        state.is_unlisted = state.first_sync <= sync && !running.contains(run);
        bool const is_missing = is_whole && state.is_unlisted;
        if (is_missing && state.is_missing)
        {
            dropped.push_back(run);
            each = m_runs.erase(each);
            continue;
        }
        state.is_missing = is_missing;
        ++each;
    }
    return dropped;
}

bool begun_runs::has_missing() const
{
    return std::any_of(m_runs.begin(),
                       m_runs.end(),
                       [](auto const& item) { return item.second.is_missing; });
}

void begun_runs::clear()
{
    m_runs.clear();
}

} // namespace turmericswitch::workflow
