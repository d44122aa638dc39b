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

/// They count these nine seconds only if the last seven were calm. A worker
/// that has just restarted, fallen silent or answered again is not.
constexpr core::duration longest_delay_after_change = std::chrono::seconds(5);

} // namespace

late_starts::late_starts(workflow_table const& table,
                         worker_fleet const& fleet,
                         core::time_point elected)
    : m_table(table), m_fleet(fleet), m_elected(elected)
{
}

void late_starts::reported(worker_view const& worker)
{
    auto const& id = worker.profile.worker;
    if (worker.unresolved_starts.empty())
    {
        m_unresolved.erase(id);
        return;
    }
    auto& tasks = m_unresolved[id];
    tasks.clear();
    for (auto const& run : worker.unresolved_starts)
    {
        tasks.insert(remember_key_of(worker.reported_at, run.task));
    }
}

void late_starts::collected(core::time_point now,
                            core::run_outcome const& outcome,
                            std::optional<core::time_point> called_after)
{
    auto const* const view = m_fleet.find(outcome.worker);
    if (view == nullptr || view->knows_all_starts)
    {
        return;
    }
    bool const may_be_followed =
        may_follow(outcome.worker, outcome.life, outcome.run, called_after);
    m_doubtful[remember_key_of(now, outcome.run.task)] = {now, may_be_followed};
}

void late_starts::applied(core::time_point now,
                          core::workflow_progress const& command)
{
    std::erase_if(m_doubtful,
                  [now](auto const& item) {
                      return now - item.second.collected >= longest_start_delay;
                  });
    std::erase_if(m_gangs,
                  [now](auto const& item) {
                      return now - item.second >=
                             longest_start_period + longest_call_delay;
                  });
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
        view->knows_all_starts || view->settled_starts.contains(run) ||
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

bool late_starts::must_stay_listed(core::ended_run const& ended,
                                   worker_view const& worker) const
{
    auto const& task = ended.run.task;
    return is_last_end(ended) && (has_known_start(worker.reported_at, task) ||
                                  has_unknown_start(task, worker));
}

bool late_starts::is_last_end(core::ended_run const& ended) const
{
    if (ended.how != core::run_end::done && ended.how != core::run_end::failed)
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
    return std::any_of(m_unresolved.begin(),
                       m_unresolved.end(),
                       [&](auto const& item)
                       {
                           auto const& [worker, tasks] = item;
                           auto const* const view = m_fleet.find(worker);
                           // The sidecar may be gone.
                           return tasks.contains(key) && view != nullptr &&
                                  !m_fleet.is_replaced(worker) &&
                                  now - view->reported_at <
                                      longest_start_period + longest_call_delay;
                       });
}

bool late_starts::has_unknown_start(core::task_ref const& task,
                                    worker_view const& worker) const
{
    if (worker.knows_all_starts)
    {
        return false;
    }
    auto const now = worker.reported_at;
    auto const known = m_doubtful.find(key_of(task));
    if (known == m_doubtful.end())
    {
        // An earlier leader has committed the end, or the run was not held.
        return now - worker.sidecar_since < longest_start_delay;
    }
    return known->second.may_be_followed &&
           now - known->second.collected < longest_start_delay;
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
