#include "workflow/dispatch/start_affinity.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

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
                               late_starts const& starts)
    : m_table(table), m_fleet(fleet), m_starts(starts)
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
    if (m_fleet.is_replaced(worker))
    {
        return restriction::none;
    }
    auto const* const view = m_fleet.find(worker);
    bool const is_running = m_running_unheld.contains(task);
    if (is_running || (view != nullptr && has_late_end(*view, task)))
    {
        return restriction::no_start;
    }
    if (!m_starts.may_begin(times.now, task, worker))
    {
        return restriction::none;
    }
    if (!pending.description->behaviour.long_running)
    {
        return restriction::no_start;
    }
    return m_starts.is_long_running_wait_over(times, task, worker)
               ? restriction::none
               : restriction::only_there;
}

bool start_affinity::has_late_end(worker_view const& worker,
                                  core::task_ref const& task) const
{
    return std::any_of(worker.ended.begin(),
                       worker.ended.end(),
                       [&](core::ended_run const& each) {
                           return each.run.task == task &&
                                  m_table.counts_late(each);
                       });
}

} // namespace turmericswitch::workflow
