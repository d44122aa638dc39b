#include "workflow/dispatch/isolation_timeout.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace turmericswitch::workflow
{

namespace
{

/// After this time an isolated task is overdue.
constexpr core::duration max_wait = std::chrono::milliseconds(500);

/// With more overdue tasks for each worker they can't start one by one in the
/// time that callers allow. So many at once also point to the workers: few
/// tasks crash them.
constexpr std::size_t max_overdue_per_worker = 2;

/// While workers crash, each start of a bystander may add a count, so batch
/// tasks stay isolated until no run of a suspect has ended for this time.
constexpr core::duration calm_time = std::chrono::seconds(2);

} // namespace

isolation_timeout::isolation_timeout(workflow_table const& table)
    : m_table(table)
{
}

std::vector<pending_stage const*>
isolation_timeout::apply(core::time_point now,
                         std::size_t workers,
                         std::vector<pending_stage const*> waiting)
{
    m_changed.clear();
    observe_ends(waiting);
    auto const overdue = find_overdue(now, waiting);
    bool const is_calm = !m_last_end || now - *m_last_end >= calm_time;
    m_is_backlogged = overdue.size() >
                      (m_is_backlogged ? 0 : workers * max_overdue_per_worker);
    for (auto& each : waiting)
    {
        pending_stage* changed = nullptr;
        for (auto const& [run, suspicion] : each->suspected)
        {
            if (!overdue.contains(run))
            {
                continue;
            }
            if (changed == nullptr)
            {
                changed = &m_changed.emplace_back(*each);
            }
            if (is_calm && m_is_backlogged && may_share(run))
            {
                changed->suspected.at(run) = crash_suspicion::overdue;
            }
            else
            {
                changed->is_isolation_late =
                    is_calm || each->description->behaviour.long_running;
            }
        }
        each = changed == nullptr ? each : changed;
    }
    return waiting;
}

void isolation_timeout::observe_ends(
    std::vector<pending_stage const*> const& waiting)
{
    for (auto const* const each : waiting)
    {
        for (auto const& [run, suspicion] : each->suspected)
        {
            if (auto const ended = m_table.unplaced_since(run.task))
            {
                m_last_end = std::max(m_last_end.value_or(*ended), *ended);
            }
        }
    }
}

std::set<core::task_run> isolation_timeout::find_overdue(
    core::time_point now,
    std::vector<pending_stage const*> const& waiting) const
{
    std::set<core::task_run> overdue;
    for (auto const* const each : waiting)
    {
        for (auto const& [run, suspicion] : each->suspected)
        {
            auto const since =
                m_table.unplaced_since(run.task).value_or(each->unplaced_since);
            if (suspicion == crash_suspicion::isolated &&
                now - since >= max_wait)
            {
                overdue.insert(run);
            }
        }
    }
    return overdue;
}

bool isolation_timeout::may_share(core::task_run const& run) const
{
    auto const* const task = m_table.find_task(run.task);
    return task != nullptr &&
           core::possible_crashes(*task) + 1 < crashes_before_delay;
}

} // namespace turmericswitch::workflow
