#include "workflow/dispatch/late_starts.hpp"

#include "workflow/agent/worker_runtime.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

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

/// From the last report of a sidecar until no start that it called can be
/// executed.
constexpr core::duration longest_delay_after_report =
    longest_start_period + longest_call_delay;

/// Callers allow a long-running task nine seconds without a run, in which it
/// must also be placed and started.
constexpr core::duration longest_long_running_delay = std::chrono::seconds(7);

/// They count these nine seconds only if the last seven were calm. A worker
/// that has just restarted, fallen silent or answered again is not.
constexpr core::duration longest_delay_after_change = std::chrono::seconds(5);

/// Erases items of the maps that `maps` contains, and maps that become empty.
template <typename Maps, typename Predicate>
void erase_inner_if(Maps& maps, Predicate const& predicate)
{
    for (auto each = maps.begin(); each != maps.end();)
    {
        std::erase_if(each->second, predicate);
        each = each->second.empty() ? maps.erase(each) : std::next(each);
    }
}

} // namespace

bool is_end_of_task(core::run_end how) noexcept
{
    return how == core::run_end::done || how == core::run_end::failed;
}

late_starts::late_starts(workflow_table const& table,
                         worker_fleet const& fleet,
                         core::time_point elected)
    : m_table(table), m_fleet(fleet), m_elected(elected)
{
}

void late_starts::reported(worker_view const& worker)
{
    auto& known = m_unresolved[worker.profile.worker];
    if (worker.knows_all_starts)
    {
        known.clear();
    }
    auto& named = known[worker.sidecar];
    named = {worker.reported_at, {}};
    for (auto const& run : worker.unresolved_starts)
    {
        named.tasks.insert(remember_key_of(worker.reported_at, run.task));
    }
    std::erase_if(known,
                  [](auto const& item) { return item.second.tasks.empty(); });
    if (known.empty())
    {
        m_unresolved.erase(worker.profile.worker);
    }
}

bool late_starts::examine(core::time_point now,
                          core::run_placement const& run,
                          std::optional<core::time_point> called_after)
{
    if (m_fleet.is_replaced(run.worker))
    {
        return false;
    }
    auto const* const view = m_fleet.find(run.worker);
    bool const is_unnamed =
        view == nullptr || may_be_unnamed(*view, run, called_after);
    if (is_unnamed || !view->knows_all_starts)
    {
        auto& known =
            m_examined[remember_key_of(now, run.run.task)][run.worker];
        // A member of a gang that no start can follow says nothing about the
        // others.
        if (is_unnamed || !known.may_be_left)
        {
            known = {now, is_unnamed};
        }
    }
    return is_unnamed || has_unresolved_start(*view, run.run.task);
}

void late_starts::applied(core::time_point now,
                          core::workflow_progress const& command)
{
    expire(now);
    for (auto const& outcome : command.ends)
    {
        if (!outcome.is_start_unresolved)
        {
            continue;
        }
        auto due = now + longest_start_delay;
        if (auto const* const view = m_fleet.find(outcome.worker))
        {
            due = std::min(due, view->reported_at + longest_delay_after_report);
        }
        m_open[outcome.run.task] = {now, due};
    }
}

void late_starts::expire(core::time_point now)
{
    auto const is_void = [now](auto const& item)
    { return now - item.second.since >= longest_start_delay; };
    std::erase_if(m_open, is_void);
    erase_inner_if(m_examined, is_void);
    erase_inner_if(m_unresolved,
                   [now](auto const& item)
                   { return is_expired(now, item.second); });
    std::erase_if(m_gangs,
                  [now](auto const& item)
                  { return now - item.second >= longest_delay_after_report; });
}

bool late_starts::is_expired(core::time_point now, named_starts const& starts)
{
    return now - starts.reported >= longest_delay_after_report;
}

bool late_starts::may_be_unnamed(worker_view const& worker,
                                 core::run_placement const& run,
                                 std::optional<core::time_point> called_after)
{
    // Otherwise the sidecar may have made the call after its last report.
    bool const is_reported_after_call = run.life < worker.profile.life ||
                                        worker.running.contains(run.run) ||
                                        reports_end(worker, run.run);
    return !knows_all_calls(worker, run.run, called_after) ||
           !is_reported_after_call;
}

bool late_starts::knows_all_calls(worker_view const& worker,
                                  core::task_run const& run,
                                  std::optional<core::time_point> called_after)
{
    return worker.knows_all_starts || worker.settled_starts.contains(run) ||
           (called_after && worker.sidecar_since <= *called_after);
}

bool late_starts::may_call(worker_view const& worker,
                           core::task_run const& run,
                           std::optional<core::time_point> called_after)
{
    return !has_unresolved_start(worker, run.task) &&
           knows_all_calls(worker, run, called_after);
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

bool late_starts::must_stay_listed(core::ended_run const& ended,
                                   worker_view const& worker) const
{
    auto const& task = ended.run.task;
    return is_last_end(ended) && (has_known_start(worker.reported_at, task) ||
                                  has_unknown_start(task, worker));
}

bool late_starts::is_last_end(core::ended_run const& ended) const
{
    if (!is_end_of_task(ended.how))
    {
        return false;
    }
    auto const* const stage = m_table.find_stage(ended.run.task);
    return stage == nullptr || (!workflow_table::may_be_copied(*stage) &&
                                !stage->behaviour.long_running);
}

bool late_starts::has_known_start(core::time_point now,
                                  core::task_ref const& task) const
{
    auto const key = key_of(task);
    return std::any_of(
        m_unresolved.begin(),
        m_unresolved.end(),
        [&](auto const& item)
        {
            auto const& [worker, sidecars] = item;
            return !m_fleet.is_replaced(worker) &&
                   std::any_of(sidecars.begin(),
                               sidecars.end(),
                               [&](auto const& named)
                               {
                                   // The sidecar may be gone.
                                   return named.second.tasks.contains(key) &&
                                          !is_expired(now, named.second);
                               });
        });
}

bool late_starts::has_unknown_start(core::task_ref const& task,
                                    worker_view const& worker) const
{
    auto const now = worker.reported_at;
    auto const known = m_examined.find(key_of(task));
    bool const is_examined = known != m_examined.end() &&
                             known->second.contains(worker.profile.worker);
    if (!worker.knows_all_starts && !is_examined)
    {
        // An earlier leader has committed the end, or the run was not held.
        return now - worker.sidecar_since < longest_start_delay;
    }
    return known != m_examined.end() &&
           std::any_of(known->second.begin(),
                       known->second.end(),
                       [&](auto const& item)
                       { return is_left(now, item.first, item.second); });
}

bool late_starts::is_left(core::time_point now,
                          core::worker_id const& worker,
                          examined_starts const& starts) const
{
    if (!starts.may_be_left || now - starts.since >= longest_start_delay ||
        m_fleet.is_replaced(worker))
    {
        return false;
    }
    auto const* const view = m_fleet.find(worker);
    // Such a sidecar has named all that is left.
    return view == nullptr || !view->knows_all_starts ||
           view->reported_at <= starts.since;
}

core::task_ref late_starts::key_of(core::task_ref const& task) const
{
    auto const* const stage = m_table.find_stage(task);
    bool const is_gang = stage == nullptr ? m_gangs.contains(stage_of(task))
                                          : stage->behaviour.gang;
    return is_gang ? core::task_ref{task.workflow, task.occurrence, task.stage}
                   : task;
}

core::task_ref late_starts::remember_key_of(core::time_point now,
                                            core::task_ref const& task)
{
    auto const* const stage = m_table.find_stage(task);
    if (stage != nullptr && stage->behaviour.gang)
    {
        m_gangs[stage_of(task)] = now;
    }
    return key_of(task);
}

bool late_starts::is_long_running_wait_over(plan_times const& times,
                                            core::task_ref const& task,
                                            core::worker_id const& worker) const
{
    auto const* const view = m_fleet.find(worker);
    if (view != nullptr &&
        times.now - view->changed_at < longest_delay_after_change)
    {
        return false;
    }
    auto const open = m_open.find(task);
    // A table that was restored from a snapshot may not know the time.
    auto const last_run = m_table.not_running_since(task);
    auto const waited =
        last_run ? times.cluster - *last_run
                 : times.now -
                       (open == m_open.end() ? m_elected : open->second.since);
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
