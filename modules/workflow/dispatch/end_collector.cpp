#include "workflow/dispatch/end_collector.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Interval of the search for expired leases and for checkpoints.
constexpr core::duration scan_interval = std::chrono::milliseconds(100);

/// Time between two committed checkpoints of a run. Each commit is written and
/// synced on all members, and a lost worker costs at most this much of the
/// run's work.
constexpr core::duration checkpoint_interval = std::chrono::seconds(1);

void add_begun(core::workflow_id const& workflow,
               core::workflow_progress& command)
{
    auto& begun = command.begun;
    if (std::find(begun.begin(), begun.end(), workflow) == begun.end())
    {
        begun.push_back(workflow);
    }
}

} // namespace

end_collector::end_collector(workflow_table const& table, worker_fleet& fleet)
    : m_table(table), m_fleet(fleet), m_unseen_ends(table, fleet)
{
}

void end_collector::reported(core::worker_id const& worker,
                             bool replaces_others)
{
    m_reported.insert(worker);
    m_unsaved.insert(worker);
    if (replaces_others)
    {
        m_next_scan = {};
    }
}

bool end_collector::is_uncommitted(core::ended_run const& ended,
                                   core::worker_id const& worker) const
{
    return m_table.held_incarnation(ended.run, worker).has_value() ||
           m_table.counts_late(ended);
}

std::optional<core::run_placement>
end_collector::find_needless_run(core::ended_run const& ended) const
{
    auto const later = ended.how == core::run_end::done
                           ? m_table.run_before_late_end(ended.run)
                           : std::nullopt;
    if (!later)
    {
        return std::nullopt;
    }
    auto const* const view = m_fleet.find(later->worker);
    bool const has_begun =
        view != nullptr && view->running.contains(later->run);
    return has_begun ? std::nullopt : later;
}

bool end_collector::waits_for_gang(core::ended_run const& ended) const
{
    return ended.how == core::run_end::done &&
           m_table.waits_for_gang(ended.run);
}

bool end_collector::is_open(core::ended_run const& ended,
                            core::worker_id const& worker) const
{
    return is_uncommitted(ended, worker) || waits_for_gang(ended) ||
           find_needless_run(ended);
}

bool end_collector::has_uncommitted_ends(worker_view const& view) const
{
    auto const is_open = [&](core::task_run const& run)
    { return m_table.held_incarnation(run, view.profile.worker).has_value(); };
    return std::any_of(view.ended.begin(),
                       view.ended.end(),
                       [&](core::ended_run const& each)
                       { return is_uncommitted(each, view.profile.worker); }) ||
           std::any_of(view.refused.begin(), view.refused.end(), is_open) ||
           std::any_of(
               view.ended_unseen.begin(), view.ended_unseen.end(), is_open);
}

void end_collector::collect(core::time_point now,
                            core::workflow_progress& command)
{
    for (auto const& worker : std::exchange(m_reported, {}))
    {
        if (auto* const view = m_fleet.find(worker))
        {
            collect_reported_ends(*view, command);
            collect_begun(*view, command);
        }
    }
    if (now < m_next_scan)
    {
        return;
    }
    m_next_scan = now + scan_interval;
    for (auto const& worker : std::exchange(m_unsaved, {}))
    {
        if (auto const* const view = m_fleet.find(worker))
        {
            collect_checkpoints(now, *view, command);
        }
    }
    collect_lost(now, command);
    collect_resolved(now, command);
    m_fleet.prune(now,
                  [this](core::worker_id const& worker)
                  { return m_table.holds().contains(worker); });
}

void end_collector::collect_reported_ends(worker_view const& view,
                                          core::workflow_progress& command)
{
    auto const& worker = view.profile.worker;
    for (auto const& each : view.ended)
    {
        if (auto const life = m_table.held_incarnation(each.run, worker))
        {
            command.ends.push_back(
                {each.run, worker, *life, each.how, each.checkpoint});
        }
        else if (m_table.counts_late(each))
        {
            command.late_ends.push_back({each.run,
                                         worker,
                                         view.profile.life,
                                         each.how,
                                         each.checkpoint});
        }
        else if (waits_for_gang(each))
        {
            m_waiting.insert(worker);
        }
    }
    for (auto const& run : view.refused)
    {
        if (auto const life = m_table.held_incarnation(run, worker))
        {
            command.ends.push_back(
                {run, worker, *life, core::run_end::refused, {}});
        }
    }
    for (auto const& run : view.ended_unseen)
    {
        if (auto const life = m_table.held_incarnation(run, worker))
        {
            command.ends.push_back(
                {run, worker, *life, m_unseen_ends.assumed_end(run), {}});
            add_begun(run.task.workflow, command);
        }
    }
}

void end_collector::collect_begun(worker_view& view,
                                  core::workflow_progress& command) const
{
    auto const& worker = view.profile.worker;
    std::erase_if(view.newly_listed,
                  [&](core::task_run const& run)
                  {
                      auto const& id = run.task.workflow;
                      auto const* const workflow = m_table.find(id);
                      return workflow == nullptr ||
                             workflow->state != core::workflow_state::queued ||
                             !m_table.held_incarnation(run, worker);
                  });
    for (auto const& run : view.newly_listed)
    {
        add_begun(run.task.workflow, command);
    }
}

core::run_outcome end_collector::lost_run(core::worker_id const& worker,
                                          held_run const& held) const
{
    auto const& [run, life] = held;
    core::run_outcome outcome{
        run, worker, life, m_fleet.end_with_worker(worker, life, run), {}};
    auto const* const task = m_table.find_task(run.task);
    outcome.established = outcome.how == core::run_end::lost &&
                          task != nullptr &&
                          core::possible_crashes(*task) > 0 &&
                          m_fleet.is_established(worker, life, run);
    return outcome;
}

void end_collector::collect_lost(core::time_point now,
                                 core::workflow_progress& command) const
{
    std::set<held_run> listed;
    for (auto const& outcome : command.ends)
    {
        listed.insert({outcome.run, outcome.life});
    }
    for (auto const& [worker, runs] : m_table.holds())
    {
        for (auto const& held : runs)
        {
            if (m_fleet.has_ended(now, worker, held.life, held.run) &&
                !listed.contains(held))
            {
                command.ends.push_back(lost_run(worker, held));
            }
        }
    }
}

void end_collector::collect_resolved(core::time_point now,
                                     core::workflow_progress& command) const
{
    for (auto const& [worker, runs] : m_table.suspected())
    {
        for (auto const& [run, life] : runs)
        {
            if (auto const how =
                    m_fleet.resolve_suspected(now, worker, life, run))
            {
                command.resolved.push_back({run, worker, life, *how, {}});
            }
        }
    }
}

bool end_collector::is_checkpoint_due(core::time_point now,
                                      core::running_task const& seen) const
{
    if (seen.checkpoint.value().empty())
    {
        return false;
    }
    auto const* const task = m_table.find_task(seen.run.task);
    if (task == nullptr || task->done || task->attempt != seen.run.attempt ||
        task->checkpoint == seen.checkpoint)
    {
        return false;
    }
    auto const saved = m_saved_at.find(seen.run);
    return saved == m_saved_at.end() ||
           now - saved->second >= checkpoint_interval;
}

void end_collector::collect_checkpoints(core::time_point now,
                                        worker_view const& view,
                                        core::workflow_progress& command) const
{
    for (auto const& [run, seen] : view.running)
    {
        if (is_checkpoint_due(now, seen))
        {
            command.checkpoints.push_back({run, seen.checkpoint});
        }
    }
}

void end_collector::applied(core::time_point now,
                            core::workflow_progress const& command)
{
    for (auto const& outcome : command.ends)
    {
        m_saved_at.erase(outcome.run);
        // An end in the worker's last report may have waited for this one.
        m_reported.insert(outcome.worker);
    }
    if (!command.ends.empty())
    {
        m_reported.merge(m_waiting);
        m_waiting.clear();
    }
    for (auto const& checkpoint : command.checkpoints)
    {
        m_saved_at[checkpoint.run] = now;
    }
    for (auto const& placement : command.placements)
    {
        m_saved_at[placement.run] = now;
    }
}

void end_collector::rejected(core::workflow_progress const& command)
{
    for (auto const* const ends : {&command.ends, &command.late_ends})
    {
        for (auto const& outcome : *ends)
        {
            m_reported.insert(outcome.worker);
        }
    }
    for (auto const& [worker, view] : m_fleet.all())
    {
        if (!view.newly_listed.empty())
        {
            m_reported.insert(worker);
        }
    }
    m_next_scan = {};
}

} // namespace turmericswitch::workflow
