#include "workflow/dispatch/late_starts.hpp"

#include "workflow/agent/worker_runtime.hpp"

#include <algorithm>
#include <chrono>

namespace turmericswitch::workflow
{

namespace
{

/// From the end of a run until no start of it can be executed: the last call
/// may have been made when the end was committed, and has a timeout of 1 s.
constexpr core::duration longest_start_delay =
    longest_call_delay + std::chrono::seconds(1);

/// From the last report of a sidecar to its last call of a start: an order may
/// follow the report, and its calls are repeated for 2 s.
constexpr core::duration longest_start_period = std::chrono::seconds(3);

/// Callers allow a long-running task nine seconds without a run, in which it
/// must also be placed and started.
constexpr core::duration longest_long_running_delay = std::chrono::seconds(7);

} // namespace

late_starts::late_starts(workflow_table const& table,
                         worker_fleet const& fleet,
                         core::time_point elected)
    : m_table(table), m_fleet(fleet), m_elected(elected)
{
}

void late_starts::applied(core::time_point now,
                          core::workflow_progress const& command)
{
    std::erase_if(m_open,
                  [now](auto const& item)
                  { return now - item.second.since >= longest_start_delay; });
    for (auto const& outcome : command.ends)
    {
        if (!outcome.is_start_unresolved)
        {
            continue;
        }
        auto due = now + longest_start_delay;
        if (auto const* const view = m_fleet.find(outcome.worker))
        {
            due = std::min(due,
                           view->reported_at + longest_start_period +
                               longest_call_delay);
        }
        m_open[outcome.run.task] = {now, due};
    }
}

bool late_starts::may_follow(core::worker_id const& worker,
                             core::incarnation life,
                             core::task_run const& run,
                             std::optional<core::time_point> called_after) const
{
    if (m_fleet.is_replaced(worker))
    {
        return false;
    }
    auto const* const view = m_fleet.find(worker);
    if (view == nullptr)
    {
        return true;
    }
    bool const knows_all =
        view->knows_all_starts ||
        (called_after && view->sidecar_since <= *called_after);
    // Otherwise the sidecar may have made the call after its last report.
    bool const is_reported_after_call = life < view->profile.life ||
                                        view->running.contains(run) ||
                                        reports_end(*view, run);
    return !knows_all || !is_reported_after_call ||
           has_unresolved_start(*view, run.task);
}

bool late_starts::may_begin(core::time_point now,
                            core::task_ref const& task,
                            core::worker_id const& worker) const
{
    if (m_fleet.is_replaced(worker))
    {
        return false;
    }
    auto const* const view = m_fleet.find(worker);
    if (view != nullptr && is_resolved(*view, task))
    {
        return false;
    }
    auto const open = m_open.find(task);
    auto const due = open == m_open.end() ? m_elected + longest_start_delay
                                          : open->second.due;
    return now < due || awaits_list(now, worker);
}

bool late_starts::is_long_running_wait_over(plan_times const& times,
                                            core::task_ref const& task,
                                            core::worker_id const& worker) const
{
    (void)worker;
    auto const open = m_open.find(task);
    // A table that was restored from a snapshot may not know the time.
    auto const last_run = m_table.not_running_since(task);
    auto const waited =
        last_run ? times.cluster - *last_run
                 : times.now - (open == m_open.end() ? m_elected
                                                     : open->second.since);
    return waited >= longest_long_running_delay;
}

bool late_starts::is_resolved(worker_view const& worker,
                              core::task_ref const& task) const
{
    auto const open = m_open.find(task);
    bool const is_reported_since =
        open == m_open.end() || worker.reported_at > open->second.since;
    // An incarnation without a list may have executed the start.
    return is_reported_since && !worker.left && worker.has_runs &&
           worker.knows_all_starts && !has_unresolved_start(worker, task);
}

bool late_starts::awaits_list(core::time_point now,
                              core::worker_id const& worker) const
{
    auto const* const view = m_fleet.find(worker);
    return view != nullptr && !view->left && !view->has_runs &&
           now < view->late_starts_expire_at;
}

} // namespace turmericswitch::workflow
