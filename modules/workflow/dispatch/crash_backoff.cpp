#include "workflow/dispatch/crash_backoff.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Time from the commit of a crash to the next start. A crash is committed when
/// the worker is back, some seconds later, and callers allow a long-running
/// task nine seconds without a run.
constexpr core::duration first_delay = std::chrono::seconds(3);

/// The same for a batch task whose start after `first_delay` crashed another
/// worker, so that it costs other jobs little for as long as it is tried.
constexpr core::duration later_delay = std::chrono::minutes(5);

core::duration delay_after(std::uint32_t crashes, bool is_long_running)
{
    bool const is_first = crashes <= crashes_before_delay;
    return is_first || is_long_running ? first_delay : later_delay;
}

} // namespace

crash_backoff::crash_backoff(workflow_table const& table) : m_table(table) {}

std::vector<pending_stage const*>
crash_backoff::without_delayed(plan_times const& times,
                               std::vector<pending_stage const*> const& waiting)
{
    m_reduced.clear();
    if (m_table.last_crashes().empty())
    {
        return waiting;
    }
    std::vector<pending_stage const*> result;
    for (auto const* const each : waiting)
    {
        if (!has_delayed(times, *each))
        {
            result.push_back(each);
            continue;
        }
        auto rest = reduced(times, *each);
        if (!rest.runs.empty())
        {
            m_reduced.push_back(std::move(rest));
            result.push_back(&m_reduced.back());
        }
    }
    return result;
}

bool crash_backoff::is_delayed(plan_times const& times,
                               pending_stage const& pending,
                               core::task_ref const& task) const
{
    auto const& last_crashes = m_table.last_crashes();
    auto const last = last_crashes.find(task);
    if (last == last_crashes.end())
    {
        return false;
    }
    auto const delay = delay_after(m_table.find_task(task)->crashes,
                                   pending.description->behaviour.long_running);
    return times.cluster < last->second + delay;
}

bool crash_backoff::has_delayed(plan_times const& times,
                                pending_stage const& pending) const
{
    return std::any_of(
        pending.suspected.begin(),
        pending.suspected.end(),
        [&](auto const& suspected)
        { return is_delayed(times, pending, suspected.first.task); });
}

pending_stage crash_backoff::reduced(plan_times const& times,
                                     pending_stage const& pending) const
{
    auto result = pending;
    if (pending.description->behaviour.gang)
    {
        // A gang starts as a whole.
        result.runs.clear();
        return result;
    }
    for (auto const& [run, suspicion] : pending.suspected)
    {
        if (is_delayed(times, pending, run.task))
        {
            result.runs.erase(run);
            result.suspected.erase(run);
            result.unresolved_on.erase(run);
        }
    }
    return result;
}

} // namespace turmericswitch::workflow
