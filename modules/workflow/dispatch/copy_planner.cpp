#include "workflow/dispatch/copy_planner.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

/// A short stage has half of its work as slack, some 250 ms, so a silence must
/// be acted on within a fraction of that.
constexpr core::duration search_interval = std::chrono::milliseconds(100);

/// Runs of a kind that must have ended before others are judged by them.
constexpr double min_learned_runs = 10;
constexpr double averaged_runs = 30;

/// A run is behind after this multiple of the mean, and after the mean and this
/// many mean deviations, so that kinds with uneven times get few copies.
constexpr double behind_factor = 2;
constexpr double behind_deviations = 4;

/// The one held attempt of the task, or nothing if none or both are held.
std::optional<core::task_attempt> only_held(core::task_record const& task)
{
    if (task.placed == task.earlier.has_value())
    {
        return std::nullopt;
    }
    return task.placed
               ? core::task_attempt{task.attempt, task.worker, task.life}
               : task.earlier;
}

/// A task that may crash its workers has one run at a time. So has one with its
/// last attempt: after the end of one run the other's start could still arrive.
bool may_have_two_runs(core::workflow_record const& workflow,
                       core::task_record const& task)
{
    return core::possible_crashes(task) == 0 &&
           task.failures + 1 < workflow.queue.attempts;
}

std::string kind_of(core::workflow_record const& workflow,
                    core::stage_description const& stage)
{
    auto const& image = stage.behaviour.image;
    return image.empty() ? "queue " + workflow.queue.queue.value()
                         : "image " + image;
}

} // namespace

std::string_view to_string(copy_reason why)
{
    switch (why)
    {
    case copy_reason::silent:
        return "silent";
    case copy_reason::not_reporting:
        return "not_reporting";
    case copy_reason::not_seen:
        return "not_seen";
    case copy_reason::behind:
        return "behind";
    }
    return "unknown";
}

copy_planner::copy_planner(copy_options options,
                           workflow_table const& table,
                           worker_fleet const& fleet,
                           core::duration report_interval,
                           core::time_point elected)
    : m_options(options),
      m_table(table),
      m_fleet(fleet),
      m_report_interval(report_interval),
      m_elected(elected)
{
}

void copy_planner::update_workflows()
{
    auto const changed = m_table.changed_workflows().read(m_read);
    if (!changed)
    {
        m_workflows.clear();
    }
    for (auto const& id : changed ? *changed : m_table.active())
    {
        auto const* const workflow = m_table.find(id);
        bool const may_copy = workflow != nullptr &&
                              m_table.active().contains(id) &&
                              std::any_of(workflow->description.stages.begin(),
                                          workflow->description.stages.end(),
                                          &workflow_table::may_be_copied);
        if (may_copy)
        {
            m_workflows.insert(id);
        }
        else
        {
            m_workflows.erase(id);
        }
    }
}

std::vector<copy_candidates> copy_planner::collect(core::time_point now)
{
    if (!m_options.enabled || now < m_next_search)
    {
        return {};
    }
    m_next_search = now + search_interval;
    update_workflows();
    groups found;
    for (auto const& id : m_workflows)
    {
        examine(now, *m_table.find(id), found);
    }
    m_has_searched = true;
    std::vector<copy_candidates> result;
    for (auto& [key, group] : found)
    {
        result.push_back(std::move(group));
    }
    return result;
}

void copy_planner::examine(core::time_point now,
                           core::workflow_record const& workflow,
                           groups& found)
{
    for (auto const& stage : workflow.stages)
    {
        auto const& description = workflow.description.stages[stage.stage];
        if (!workflow_table::may_be_copied(description))
        {
            continue;
        }
        for (std::size_t i = 0; i < stage.tasks.size(); ++i)
        {
            examine(now, workflow, stage, i, found);
        }
    }
}

void copy_planner::examine(core::time_point now,
                           core::workflow_record const& workflow,
                           core::stage_record const& stage,
                           std::size_t position,
                           groups& found)
{
    auto const& task = stage.tasks[position];
    if (task.done)
    {
        return;
    }
    auto const& description = workflow.description.stages[stage.stage];
    core::task_run run{{workflow.workflow,
                        stage.occurrence,
                        stage.stage,
                        stage.indices[position]},
                       {}};
    for (auto const& attempt :
         {task.placed ? std::optional(task.attempt) : std::nullopt,
          task.earlier ? std::optional(task.earlier->attempt) : std::nullopt})
    {
        if (attempt)
        {
            see(now, {run.task, *attempt}, workflow, description);
        }
    }
    auto const held = only_held(task);
    if (!held || !may_have_two_runs(workflow, task))
    {
        return;
    }
    run.attempt = held->attempt;
    auto const why = reason(now, run, *held);
    if (!why)
    {
        return;
    }
    auto& group = found[{stage_of(run.task), held->worker}];
    auto& pending = group.pending;
    group.worker = held->worker;
    group.why = *why;
    pending.stage = stage_of(run.task);
    pending.description = &description;
    pending.service = workflow.queue.service;
    pending.priority = workflow.queue.priority;
    pending.submitted = workflow.submitted;
    bool const is_established =
        m_fleet.is_established(held->worker, held->life, run);
    run.attempt = core::attempt_number(task.attempt.value() + 1);
    pending.runs.push_back(run);
    if (*why != copy_reason::behind && !is_established)
    {
        // The run may be what silenced the worker.
        pending.suspected.emplace(run, crash_suspicion::spread);
    }
}

void copy_planner::see(core::time_point now,
                       core::task_run const& run,
                       core::workflow_record const& workflow,
                       core::stage_description const& stage)
{
    if (!m_runs.contains(run))
    {
        m_runs.emplace(run,
                       seen_run{now, kind_of(workflow, stage), m_has_searched});
    }
}

std::optional<copy_reason>
copy_planner::reason(core::time_point now,
                     core::task_run const& run,
                     core::task_attempt const& held) const
{
    auto const max_age = m_report_interval * 3 / 2;
    if (m_fleet.has_ended(now, held.worker, held.life, run))
    {
        // The task is placed again once this end is committed.
        return std::nullopt;
    }
    auto const* const view = m_fleet.find(held.worker);
    if (view == nullptr || view->profile.life != held.life)
    {
        return now - m_elected > max_age ? std::optional(copy_reason::not_seen)
                                         : std::nullopt;
    }
    if (view->is_silent)
    {
        return copy_reason::silent;
    }
    if (now - view->reported_at > max_age)
    {
        return copy_reason::not_reporting;
    }
    return is_behind(now, run) ? std::optional(copy_reason::behind)
                               : std::nullopt;
}

bool copy_planner::is_behind(core::time_point now,
                             core::task_run const& run) const
{
    auto const& seen = m_runs.at(run);
    auto const known = m_times.find(seen.kind);
    if (known == m_times.end() || known->second.weight < min_learned_runs)
    {
        return false;
    }
    auto const& times = known->second;
    return std::chrono::duration<double>(now - seen.since).count() >
           std::max(times.mean * behind_factor,
                    times.mean + times.deviation * behind_deviations);
}

std::vector<copy_decision>
copy_planner::place(std::vector<copy_candidates> const& wanted,
                    std::vector<candidate_worker*> const& workers,
                    std::size_t max_copies,
                    tail_hook const& tail)
{
    std::vector<copy_decision> decisions;
    for (auto const& [pending, worker, why] : wanted)
    {
        auto elsewhere = workers;
        std::erase_if(elsewhere,
                      [&of = worker](candidate_worker const* each)
                      { return each->worker == of || each->is_trial; });
        for (auto& placed : plan_stages(
                 {&pending}, elsewhere, max_copies - decisions.size(), tail))
        {
            placed.is_copy = true;
            decisions.push_back({std::move(placed), worker, why});
        }
    }
    return decisions;
}

void copy_planner::ended(core::time_point now, core::run_outcome const& outcome)
{
    auto const seen = m_runs.extract(outcome.run);
    if (seen.empty() || outcome.how != core::run_end::done ||
        !seen.mapped().is_start_known)
    {
        return;
    }
    auto const ran =
        std::chrono::duration<double>(now - seen.mapped().since).count();
    auto& times = m_times[seen.mapped().kind];
    times.weight = std::min(times.weight + 1, averaged_runs);
    times.deviation +=
        (std::abs(ran - times.mean) - times.deviation) / times.weight;
    times.mean += (ran - times.mean) / times.weight;
}

} // namespace turmericswitch::workflow
