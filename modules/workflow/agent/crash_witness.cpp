#include "workflow/agent/crash_witness.hpp"

#include "workflow/table/establishment.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Crashes that are kept while no leader answers. Runs of earlier ones count as
/// suspected.
constexpr std::size_t max_crashes_kept = 16;

} // namespace

void crash_witness::listed(core::duration clock,
                           std::vector<core::running_task> const& running)
{
    m_clock = clock;
    auto const before = std::exchange(m_listed_since, {});
    for (auto const& each : running)
    {
        auto const known = before.find(each.run);
        m_listed_since.emplace(each.run,
                               known == before.end() ? clock : known->second);
    }
}

void crash_witness::ended(core::worker_incarnation const& id, bool is_crash)
{
    auto const since = std::exchange(m_listed_since, {});
    if (!is_crash)
    {
        return;
    }
    core::crashed_incarnation crash{id, {}};
    for (auto const& [run, first] : since)
    {
        if (m_clock - first >= establishment_time)
        {
            crash.established.push_back(run);
        }
    }
    if (m_crashes.size() == max_crashes_kept)
    {
        m_crashes.erase(m_crashes.begin());
    }
    m_crashes.push_back(std::move(crash));
}

void crash_witness::acknowledge(
    std::vector<core::worker_incarnation> const& ids)
{
    std::erase_if(
        m_crashes,
        [&ids](core::crashed_incarnation const& each)
        { return std::find(ids.begin(), ids.end(), each.id) != ids.end(); });
}

std::vector<core::crashed_incarnation> const&
crash_witness::crashes() const noexcept
{
    return m_crashes;
}

} // namespace turmericswitch::workflow
