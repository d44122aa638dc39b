#include "workflow/dispatch/start_affinity.hpp"

#include "workflow/agent/worker_runtime.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// From the end of a run until no start of it can be executed: the last call
/// may have been made when the end was committed, and has a timeout of 1 s.
constexpr core::duration longest_start_delay =
    longest_call_delay + std::chrono::seconds(1);

/// Callers allow a long-running task nine seconds without a run, in which it
/// must also be placed and started.
constexpr core::duration longest_long_running_delay = std::chrono::seconds(7);

/// @return The stage without tasks.
pending_stage without_runs(pending_stage const& pending)
{
    auto result = pending;
    result.runs = run_list(pending.stage);
    result.suspected.clear();
    result.unresolved_on.clear();
    return result;
}

} // namespace

start_affinity::start_affinity(workflow_table const& table,
                               worker_fleet const& fleet,
                               core::time_point elected)
    : m_table(table), m_fleet(fleet), m_elected(elected)
{
}

void start_affinity::reported(worker_view const& worker)
{
    auto const& id = worker.profile.worker;
    std::vector<core::task_run> unheld;
    for (auto const& [run, seen] : worker.running)
    {
        if (!m_table.held_incarnation(run, id))
        {
            unheld.push_back(run);
        }
    }
    if (unheld.empty())
    {
        m_unheld.erase(id);
    }
    else
    {
        m_unheld.insert_or_assign(id, std::move(unheld));
    }
}

void start_affinity::find_running_unheld(core::time_point now)
{
    m_running_unheld.clear();
    std::erase_if(m_unheld,
                  [this](auto const& item)
                  { return m_fleet.find(item.first) == nullptr; });
    for (auto const& [worker, runs] : m_unheld)
    {
        auto const life = m_fleet.find(worker)->profile.life;
        for (auto const& run : runs)
        {
            if (!m_fleet.has_ended(now, worker, life, run))
            {
                m_running_unheld.insert(run.task);
            }
        }
    }
}

void start_affinity::applied(core::time_point now,
                             core::workflow_progress const& command)
{
    std::erase_if(m_ended_at,
                  [&](auto const& item) {
                      return now - item.second >=
                             longest_start_delay + m_fleet.longest_lease();
                  });
    for (auto const& outcome : command.ends)
    {
        if (outcome.is_start_unresolved)
        {
            m_ended_at[outcome.run.task] = now;
        }
    }
}

std::vector<pending_stage const*> start_affinity::restrict_workers(
    plan_times const& times, std::vector<pending_stage const*> const& waiting)
{
    m_parts.clear();
    find_running_unheld(times.now);
    std::vector<pending_stage const*> result;
    for (auto const* const each : waiting)
    {
        if (each->unresolved_on.empty() && !has_running_unheld(*each))
        {
            result.push_back(each);
        }
        else
        {
            split(times, *each, result);
        }
    }
    return result;
}

void start_affinity::split(plan_times const& times,
                           pending_stage const& pending,
                           std::vector<pending_stage const*>& result)
{
    auto rest = pending;
    erase_running_unheld(rest);
    if (rest.runs.size() < pending.runs.size() &&
        pending.description->behaviour.gang)
    {
        // A gang starts as a whole.
        return;
    }
    std::map<core::worker_id, pending_stage> parts;
    for (auto const& [run, worker] : pending.unresolved_on)
    {
        auto const found = restriction_of(times, pending, run.task, worker);
        if (found == restriction::none)
        {
            continue;
        }
        if (pending.description->behaviour.gang)
        {
            // A gang starts as a whole.
            return;
        }
        rest.runs.erase(run);
        auto const suspected = rest.suspected.extract(run);
        if (found == restriction::no_start)
        {
            continue;
        }
        auto& part =
            parts.try_emplace(worker, without_runs(pending)).first->second;
        part.runs.push_back(run);
        if (!suspected.empty())
        {
            part.suspected.emplace(run, suspected.mapped());
        }
    }
    add(std::move(rest), result);
    for (auto& [worker, part] : parts)
    {
        part.only_on = worker;
        add(std::move(part), result);
    }
}

bool start_affinity::has_running_unheld(pending_stage const& pending) const
{
    return !workflow_table::may_be_copied(*pending.description) &&
           std::any_of(m_running_unheld.begin(),
                       m_running_unheld.end(),
                       [&pending](core::task_ref const& task)
                       { return stage_of(task) == pending.stage; });
}

void start_affinity::erase_running_unheld(pending_stage& pending) const
{
    if (!has_running_unheld(pending))
    {
        return;
    }
    std::vector<core::task_run> running;
    for (auto const& run : pending.runs)
    {
        if (m_running_unheld.contains(run.task))
        {
            running.push_back(run);
        }
    }
    for (auto const& run : running)
    {
        pending.runs.erase(run);
        pending.suspected.erase(run);
    }
}

void start_affinity::add(pending_stage stage,
                         std::vector<pending_stage const*>& result)
{
    if (!stage.runs.empty())
    {
        m_parts.push_back(std::move(stage));
        result.push_back(&m_parts.back());
    }
}

start_affinity::restriction
start_affinity::restriction_of(plan_times const& times,
                               pending_stage const& pending,
                               core::task_ref const& task,
                               core::worker_id const& worker) const
{
    auto const* const view = m_fleet.find(worker);
    if (view != nullptr && view->is_replaced_under_other_id)
    {
        return restriction::none;
    }
    bool const is_running = m_running_unheld.contains(task);
    if (is_running || (view != nullptr && has_late_end(*view, task)))
    {
        return restriction::no_start;
    }
    bool const is_known_resolved = view != nullptr && is_resolved(*view, task);
    return is_known_resolved || is_due(times, pending, task, worker)
               ? restriction::none
               : restriction::only_there;
}

bool start_affinity::has_late_end(worker_view const& worker,
                                  core::task_ref const& task) const
{
    return std::any_of(worker.ended.begin(),
                       worker.ended.end(),
                       [&](core::ended_run const& each)
                       {
                           return each.run.task == task &&
                                  ((each.how == core::run_end::done &&
                                    m_table.accepts_late_end(each.run)) ||
                                   (each.how == core::run_end::failed &&
                                    m_table.accepts_late_failure(each.run)));
                       });
}

bool start_affinity::is_resolved(worker_view const& worker,
                                 core::task_ref const& task) const
{
    auto const ended = m_ended_at.find(task);
    bool const is_reported_since =
        ended == m_ended_at.end() || worker.reported_at > ended->second;
    return is_reported_since && !worker.left && worker.has_runs &&
           !worker.is_silent && worker.knows_all_starts &&
           !has_unresolved_start(worker, task);
}

bool start_affinity::is_due(plan_times const& times,
                            pending_stage const& pending,
                            core::task_ref const& task,
                            core::worker_id const& worker) const
{
    auto const ended = m_ended_at.find(task);
    auto const since = ended != m_ended_at.end() ? ended->second : m_elected;
    if (pending.description->behaviour.long_running)
    {
        // A table that was restored from a snapshot may not know the time.
        auto const last_run = m_table.not_running_since(task);
        auto const waited =
            last_run ? times.cluster - *last_run : times.now - since;
        return waited >= longest_long_running_delay;
    }
    return shows_last_start(times.now, since + longest_start_delay, worker);
}

bool start_affinity::shows_last_start(core::time_point now,
                                      core::time_point last_start,
                                      core::worker_id const& worker) const
{
    auto const* const view = m_fleet.find(worker);
    bool const is_listed = view != nullptr && view->has_runs &&
                           !view->is_silent &&
                           view->clock_changed_at >= last_start;
    return now >= last_start &&
           (is_listed || now - last_start >= m_fleet.longest_lease());
}

} // namespace turmericswitch::workflow
