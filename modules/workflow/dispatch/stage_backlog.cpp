#include "workflow/dispatch/stage_backlog.hpp"

#include "workflow/table/stage_tasks.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A workflow that can end within this multiple of its objective is late;
/// beyond that it is too late.
constexpr int late_factor = overload::late_factor;

/// @return When the occurrence is due; for a workflow without a schedule a time
///         in the past.
core::wall_time due_time(core::workflow_record const& workflow,
                         std::uint32_t occurrence)
{
    auto const& schedule = workflow.description.schedule;
    return schedule.occurrences == 0
               ? core::wall_time::min()
               : schedule.first + schedule.interval * occurrence;
}

job_urgency urgency_of(overload::job_rank const& rank)
{
    if (rank.is_starved || rank.expected == overload::prospect::in_time)
    {
        return job_urgency::on_time;
    }
    return rank.expected == overload::prospect::late ? job_urgency::late
                                                     : job_urgency::too_late;
}

bool is_unplaced(core::task_record const& task)
{
    return !task.done && !task.placed && !task.earlier;
}

core::attempt_number next_attempt(core::task_record const& task)
{
    return core::attempt_number(task.attempt.value() + 1);
}

/// @param record Null if no task of the stage was ever placed.
/// @param tasks Number of tasks of the stage.
/// @return The next run of each task that is neither done nor placed. Its cost
///         follows the size of the record.
run_list unplaced_runs(stage_ref const& stage,
                       core::stage_record const* record,
                       std::uint32_t tasks)
{
    run_list runs(stage);
    std::size_t position = 0;
    auto const add_records_before = [&](std::uint32_t end)
    {
        for (; record != nullptr && position < record->indices.size() &&
               record->indices[position] < end;
             ++position)
        {
            auto const index = record->indices[position];
            auto const& task = record->tasks[position];
            if (is_unplaced(task))
            {
                runs.push_back({index, index + 1}, next_attempt(task));
            }
        }
    };
    for (auto const& range : never_placed(record, tasks))
    {
        add_records_before(range.first);
        runs.push_back(range, core::attempt_number(1));
    }
    add_records_before(tasks);
    return runs;
}

template <typename Stages>
std::uint64_t tasks_in(Stages const& stages)
{
    std::uint64_t count = 0;
    for (auto const& waiting : stages)
    {
        count += waiting.pending.runs.size();
    }
    return count;
}

} // namespace

stage_backlog::stage_backlog(workflow_table const& table,
                             run_time_model const& run_times,
                             worker_fleet const& fleet)
    : m_table(table), m_run_times(run_times), m_fleet(fleet)
{
}

void stage_backlog::order_by(rank_hook rank)
{
    m_rank = std::move(rank);
}

std::vector<pending_stage const*>
stage_backlog::collect(plan_times const& times)
{
    examine_changed(times);
    examine_due(times);
    std::vector<pending_stage const*> all;
    for (auto& [id, stages] : m_waiting)
    {
        for (auto& waiting : stages)
        {
            update(times.cluster, waiting);
            all.push_back(&waiting.pending);
        }
    }
    return all;
}

void stage_backlog::examine_changed(plan_times const& times)
{
    auto const changed = m_table.changed_workflows().read(m_read);
    if (!changed)
    {
        m_next_occurrences.clear();
        m_waiting.clear();
        m_waiting_tasks = 0;
    }
    for (auto const& id : changed ? *changed : m_table.active())
    {
        examine(id, times);
    }
}

void stage_backlog::examine_due(plan_times const& times)
{
    // After a backward step of the clock, occurrences may be due no longer.
    bool const stepped_back = times.wall < m_collected_at;
    m_collected_at = times.wall;
    std::vector<core::workflow_id> due_workflows;
    for (auto const& [id, due] : m_next_occurrences)
    {
        if (due <= times.wall || stepped_back)
        {
            due_workflows.push_back(id);
        }
    }
    for (auto const& id : due_workflows)
    {
        examine(id, times);
    }
    m_earliest_occurrence = core::wall_time::max();
    for (auto const& [id, due] : m_next_occurrences)
    {
        m_earliest_occurrence = std::min(m_earliest_occurrence, due);
    }
}

bool stage_backlog::is_occurrence_due(core::wall_time wall) const noexcept
{
    return wall >= m_earliest_occurrence || wall < m_collected_at;
}

void stage_backlog::examine(core::workflow_id const& id,
                            plan_times const& times)
{
    ++m_examined;
    waiting_stages stages;
    m_next_occurrences.erase(id);
    if (m_table.active().contains(id))
    {
        auto const& workflow = *m_table.find(id);
        auto const occurrences = workflow_table::occurrences_of(workflow);
        for (std::uint32_t k = 0; k < occurrences; ++k)
        {
            if (auto const due = due_time(workflow, k); due > times.wall)
            {
                m_next_occurrences.emplace(id, due);
                break;
            }
            add_stages(times, workflow, k, stages);
        }
    }
    replace(id, std::move(stages));
}

void stage_backlog::replace(core::workflow_id const& id, waiting_stages stages)
{
    if (auto const known = m_waiting.find(id); known != m_waiting.end())
    {
        m_waiting_tasks -= tasks_in(known->second);
        m_waiting.erase(known);
    }
    if (!stages.empty())
    {
        m_waiting_tasks += tasks_in(stages);
        m_waiting.emplace(id, std::move(stages));
    }
}

/// Updates what depends on the time and on the reports of workers.
void stage_backlog::update(core::time_point cluster_now,
                           waiting_stage& waiting) const
{
    auto& pending = waiting.pending;
    if (!m_rank)
    {
        pending.urgency = urgency_of(cluster_now,
                                     *m_table.find(pending.stage.workflow),
                                     pending.stage.occurrence);
    }
    else if (auto const* const rank = m_rank(pending.stage.workflow))
    {
        pending.urgency = workflow::urgency_of(*rank);
        pending.rank = rank->is_reordered ? rank->position : 0;
    }
    for (auto const& worker : waiting.placed_on)
    {
        if (auto const* const view = m_fleet.find(worker))
        {
            pending.racks.insert(view->profile.rack);
        }
    }
}

std::optional<core::time_point>
stage_backlog::waiting_since(stage_ref const& stage) const
{
    if (auto const known = m_waiting.find(stage.workflow);
        known != m_waiting.end())
    {
        for (auto const& waiting : known->second)
        {
            if (waiting.pending.stage == stage)
            {
                return waiting.since;
            }
        }
    }
    return std::nullopt;
}

std::uint64_t stage_backlog::waiting_tasks() const noexcept
{
    return m_waiting_tasks;
}

std::uint64_t stage_backlog::examined_workflows() const noexcept
{
    return m_examined;
}

core::duration stage_backlog::longest_wait(core::time_point cluster_now) const
{
    core::duration longest{};
    for (auto const& [id, stages] : m_waiting)
    {
        for (auto const& waiting : stages)
        {
            longest =
                std::max(longest, cluster_now - waiting.pending.unplaced_since);
        }
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

void stage_backlog::add_stages(plan_times const& times,
                               core::workflow_record const& workflow,
                               std::uint32_t occurrence,
                               waiting_stages& all) const
{
    auto const& stages = workflow.description.stages;
    for (std::uint32_t number = 0; number < stages.size(); ++number)
    {
        if (!workflow_table::is_ready(workflow, occurrence, number))
        {
            continue;
        }
        waiting_stage waiting;
        auto& pending = waiting.pending;
        pending.stage = {workflow.workflow, occurrence, number};
        add_tasks(workflow, occurrence, number, waiting);
        if (pending.runs.empty())
        {
            continue;
        }
        pending.description = &stages[number];
        pending.service = workflow.queue.service;
        pending.priority = workflow.queue.priority;
        pending.submitted = workflow.submitted;
        waiting.since = waiting_since(pending.stage).value_or(times.now);
        pending.unplaced_since = find_unplaced_since(times, workflow, waiting);
        all.push_back(std::move(waiting));
    }
}

/// The end of a task's last run is known unless it was restored from a
/// snapshot. A task that was never placed has waited since its submission, if
/// nothing else has to end or come due first. Otherwise it has waited for at
/// least as long as this leader knows.
core::time_point
stage_backlog::find_unplaced_since(plan_times const& times,
                                   core::workflow_record const& workflow,
                                   waiting_stage const& waiting) const
{
    auto const& [id, occurrence, number] = waiting.pending.stage;
    auto since = times.cluster - (times.now - waiting.since);
    auto const* const record =
        workflow_table::find_stage_record(workflow, occurrence, number);
    auto const& stage = workflow.description.stages[number];
    if (stage.after.empty() && workflow.description.schedule.occurrences == 0 &&
        !never_placed(record, stage.tasks).empty())
    {
        return workflow.submitted;
    }
    auto const known = record != nullptr ? record->tasks.size() : 0;
    for (std::size_t i = 0; i < known; ++i)
    {
        if (auto const ended = m_table.unplaced_since(
                {id, occurrence, number, record->indices[i]}))
        {
            since = std::min(since, *ended);
        }
    }
    return since;
}

void stage_backlog::add_tasks(core::workflow_record const& workflow,
                              std::uint32_t occurrence,
                              std::uint32_t number,
                              waiting_stage& waiting) const
{
    auto const& stage = workflow.description.stages[number];
    auto const* const record =
        workflow_table::find_stage_record(workflow, occurrence, number);
    auto& pending = waiting.pending;
    auto const known = record != nullptr ? record->tasks.size() : 0;
    std::uint32_t last_attempt = 0;
    bool any_held = false;
    for (std::size_t i = 0; i < known; ++i)
    {
        auto const& task = record->tasks[i];
        last_attempt = std::max(last_attempt, task.attempt.value());
        any_held = any_held || task.placed;
        if (task.failures > 0)
        {
            pending.failed_on.insert(task.worker);
        }
        if (task.placed && stage.constraints.prefers_one_rack)
        {
            waiting.placed_on.insert(task.worker);
        }
    }
    if (stage.behaviour.gang && any_held)
    {
        return;
    }
    pending.runs = unplaced_runs(pending.stage, record, stage.tasks);
    // All members of a gang have the same attempt number.
    auto const gang_attempt = core::attempt_number(last_attempt + 1);
    if (stage.behaviour.gang)
    {
        pending.runs.set_attempt(gang_attempt);
    }
    for (std::size_t i = 0; i < known; ++i)
    {
        auto const& task = record->tasks[i];
        if (!is_unplaced(task))
        {
            continue;
        }
        core::task_run const run{
            {workflow.workflow, occurrence, number, record->indices[i]},
            stage.behaviour.gang ? gang_attempt : next_attempt(task)};
        auto const suspicion = suspicion_after(core::possible_crashes(task));
        if (suspicion != crash_suspicion::none)
        {
            pending.suspected.emplace(run, suspicion);
        }
        if (!task.unresolved_on.value().empty())
        {
            pending.unresolved_on.emplace(run, task.unresolved_on);
        }
    }
}

} // namespace turmericswitch::workflow
