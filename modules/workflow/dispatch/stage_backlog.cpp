#include "workflow/dispatch/stage_backlog.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A workflow that can end within this multiple of its objective is late;
/// beyond that it is too late.
constexpr int late_factor = 3;

bool is_due(core::workflow_record const& workflow,
            std::uint32_t occurrence,
            core::wall_time wall)
{
    auto const& schedule = workflow.description.schedule;
    return schedule.occurrences == 0 ||
           schedule.first + schedule.interval * occurrence <= wall;
}

} // namespace

stage_backlog::stage_backlog(workflow_table const& table,
                             run_time_model const& run_times,
                             worker_fleet const& fleet)
    : m_table(table), m_run_times(run_times), m_fleet(fleet)
{
}

std::vector<pending_stage> stage_backlog::collect(plan_times const& times)
{
    std::vector<pending_stage> all;
    for (auto const& id : m_table.active())
    {
        auto const& workflow = *m_table.find(id);
        auto const occurrences = workflow_table::occurrences_of(workflow);
        for (std::uint32_t k = 0; k < occurrences; ++k)
        {
            if (is_due(workflow, k, times.wall))
            {
                add_stages(times.cluster, workflow, k, all);
            }
        }
    }
    update_waiting(times.now, all);
    return all;
}

void stage_backlog::update_waiting(core::time_point now,
                                   std::vector<pending_stage> const& waiting)
{
    std::map<stage_ref, core::time_point> since;
    m_waiting_tasks = 0;
    for (auto const& each : waiting)
    {
        since[each.stage] = waiting_since(each.stage).value_or(now);
        m_waiting_tasks += each.runs.size();
    }
    m_waiting_since = std::move(since);
}

std::optional<core::time_point>
stage_backlog::waiting_since(stage_ref const& stage) const
{
    auto const known = m_waiting_since.find(stage);
    return known == m_waiting_since.end() ? std::nullopt
                                          : std::optional(known->second);
}

std::uint64_t stage_backlog::waiting_tasks() const noexcept
{
    return m_waiting_tasks;
}

core::duration stage_backlog::longest_wait(core::time_point now) const
{
    core::duration longest{};
    for (auto const& [stage, since] : m_waiting_since)
    {
        longest = std::max(longest, now - since);
    }
    return longest;
}

job_urgency stage_backlog::urgency_of(core::time_point cluster_now,
                                      core::workflow_record const& workflow,
                                      std::uint32_t occurrence) const
{
    auto const& stages = workflow.description.stages;
    bool const is_long_running =
        std::any_of(stages.begin(),
                    stages.end(),
                    [](core::stage_description const& stage)
                    { return stage.behaviour.long_running; });
    // A long-running workflow has no completion time, and the age of a workflow
    // with a schedule says nothing about its occurrences.
    if (is_long_running || workflow.description.schedule.occurrences > 0)
    {
        return job_urgency::on_time;
    }
    auto const critical_path =
        m_run_times.critical_path(workflow, [](std::uint32_t) { return true; });
    auto const remaining = m_run_times.critical_path(
        workflow,
        [&](std::uint32_t stage)
        {
            auto const* const record =
                workflow_table::find_stage_record(workflow, occurrence, stage);
            return record == nullptr ||
                   !workflow_table::is_stage_done(*record, stages[stage].tasks);
        });
    auto const objective =
        critical_path * workflow.queue.stretch_permille / 1000 +
        workflow.queue.target_latency;
    auto const age = cluster_now - workflow.submitted;
    if (age + remaining <= objective)
    {
        return job_urgency::on_time;
    }
    return age + remaining <= objective * late_factor ? job_urgency::late
                                                      : job_urgency::too_late;
}

void stage_backlog::add_stages(core::time_point cluster_now,
                               core::workflow_record const& workflow,
                               std::uint32_t occurrence,
                               std::vector<pending_stage>& all) const
{
    auto const& stages = workflow.description.stages;
    auto const urgency = urgency_of(cluster_now, workflow, occurrence);
    for (std::uint32_t number = 0; number < stages.size(); ++number)
    {
        if (!workflow_table::is_ready(workflow, occurrence, number))
        {
            continue;
        }
        pending_stage waiting;
        waiting.stage = {workflow.workflow, occurrence, number};
        waiting.description = &stages[number];
        waiting.service = workflow.queue.service;
        waiting.priority = workflow.queue.priority;
        waiting.submitted = workflow.submitted;
        waiting.urgency = urgency;
        add_tasks(workflow, occurrence, number, waiting);
        if (!waiting.runs.empty())
        {
            all.push_back(std::move(waiting));
        }
    }
}

void stage_backlog::add_tasks(core::workflow_record const& workflow,
                              std::uint32_t occurrence,
                              std::uint32_t number,
                              pending_stage& waiting) const
{
    auto const& stage = workflow.description.stages[number];
    auto const* const record =
        workflow_table::find_stage_record(workflow, occurrence, number);
    std::uint32_t last_attempt = 0;
    bool any_held = false;
    for (std::uint32_t i = 0; i < stage.tasks; ++i)
    {
        auto const task =
            record != nullptr ? record->tasks[i] : core::task_record{};
        last_attempt = std::max(last_attempt, task.attempt.value());
        any_held = any_held || task.placed;
        if (task.failures > 0)
        {
            waiting.failed_on.insert(task.worker);
        }
        if (auto const* const view =
                task.placed ? m_fleet.find(task.worker) : nullptr)
        {
            waiting.racks.insert(view->profile.rack);
        }
        if (!task.done && !task.placed)
        {
            waiting.runs.push_back(
                {{workflow.workflow, occurrence, number, i},
                 core::attempt_number(task.attempt.value() + 1)});
        }
    }
    if (!stage.behaviour.gang)
    {
        return;
    }
    if (any_held)
    {
        waiting.runs.clear();
    }
    // All members of a gang have the same attempt number.
    for (auto& run : waiting.runs)
    {
        run.attempt = core::attempt_number(last_attempt + 1);
    }
}

} // namespace turmericswitch::workflow
