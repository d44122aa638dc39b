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
constexpr core::duration delay_after_crash = std::chrono::seconds(3);

} // namespace

crash_backoff::crash_backoff(workflow_table const& table) : m_table(table) {}

void crash_backoff::applied(core::time_point now,
                            core::workflow_progress const& command)
{
    std::erase_if(m_due,
                  [now](auto const& item) { return item.second <= now; });
    for (auto const& outcome : command.ends)
    {
        auto const& ref = outcome.run.task;
        auto const* const task = m_table.find_task(ref);
        if (outcome.how == core::run_end::crashed && task != nullptr &&
            task->crashes >= max_crashes)
        {
            m_due[ref] = now + delay_after_crash;
        }
    }
}

std::vector<pending_stage const*>
crash_backoff::without_delayed(core::time_point now,
                               std::vector<pending_stage const*> const& waiting)
{
    m_reduced.clear();
    std::erase_if(m_due,
                  [now](auto const& item) { return item.second <= now; });
    if (m_due.empty())
    {
        return waiting;
    }
    std::vector<pending_stage const*> result;
    for (auto const* const each : waiting)
    {
        if (!has_delayed(*each))
        {
            result.push_back(each);
            continue;
        }
        auto rest = reduced(*each);
        if (!rest.runs.empty())
        {
            m_reduced.push_back(std::move(rest));
            result.push_back(&m_reduced.back());
        }
    }
    return result;
}

bool crash_backoff::has_delayed(pending_stage const& pending) const
{
    return std::any_of(pending.suspected.begin(),
                       pending.suspected.end(),
                       [this](auto const& suspected)
                       { return m_due.contains(suspected.first.task); });
}

pending_stage crash_backoff::reduced(pending_stage const& pending) const
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
        if (m_due.contains(run.task))
        {
            result.runs.erase(run);
            result.suspected.erase(run);
        }
    }
    return result;
}

} // namespace turmericswitch::workflow
