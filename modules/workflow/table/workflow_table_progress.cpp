#include "core/config/queue_address.hpp"
#include "workflow/table/stage_tasks.hpp"
#include "workflow/table/workflow_table.hpp"

#include <algorithm>
#include <utility>

// The table's part that applies ends, checkpoints and placements.

namespace turmericswitch::workflow
{

namespace
{

using core::run_end;
using core::workflow_state;

bool is_complete(core::workflow_record const& workflow)
{
    auto const& stages = workflow.description.stages;
    if (workflow.stages.size() <
        stages.size() * workflow_table::occurrences_of(workflow))
    {
        return false;
    }
    return std::all_of(workflow.stages.begin(),
                       workflow.stages.end(),
                       [&stages](core::stage_record const& record) {
                           return workflow_table::is_stage_done(
                               record, stages[record.stage].tasks);
                       });
}

/// @return True for ends that show that the task ran on a worker without
///         crashing it.
bool shows_survival(core::run_outcome const& outcome)
{
    auto const how = outcome.how;
    if (how == run_end::lost)
    {
        return outcome.established;
    }
    return how != run_end::crashed && how != run_end::suspected &&
           how != run_end::refused;
}

/// @return True for ends that show that the worker had begun the run.
bool shows_begin(core::run_outcome const& outcome)
{
    switch (outcome.how)
    {
    case run_end::done:
    case run_end::failed:
    case run_end::stopped:
    case run_end::lapsed:
    case run_end::broken:
    case run_end::alone:
        return true;
    case run_end::lost:
        return outcome.established;
    case run_end::refused:
    case run_end::crashed:
    case run_end::suspected:
        break;
    }
    return false;
}

/// @return True if the task has one held run, and that on another worker.
bool may_take_copy(core::stage_description const& stage,
                   core::task_record const& task,
                   core::worker_id const& worker)
{
    if (!workflow_table::may_be_copied(stage) ||
        task.placed == task.earlier.has_value())
    {
        return false;
    }
    return worker != (task.placed ? task.worker : task.earlier->worker);
}

core::task_record* find_task_in(core::workflow_record& workflow,
                                core::task_ref const& task)
{
    auto* const stage = workflow_table::find_stage_record(
        workflow, task.occurrence, task.stage);
    return stage == nullptr ? nullptr : find_task_record(*stage, task.index);
}

/// Drops the record of a task that is done, unless its workflow has ended.
void drop_done_record_in(core::workflow_record& workflow,
                         core::task_ref const& task)
{
    if (auto* const stage = workflow_table::find_stage_record(
            workflow, task.occurrence, task.stage))
    {
        drop_done_record(*stage, task.index);
    }
}

} // namespace

void workflow_table::progress(core::workflow_progress const& command,
                              core::time_point now)
{
    for (auto const& outcome : command.ends)
    {
        apply(outcome, now);
    }
    for (auto const& outcome : command.late_ends)
    {
        apply_late_end(outcome, now);
    }
    for (auto const& outcome : command.resolved)
    {
        resolve(outcome, now);
    }
    for (auto const& checkpoint : command.checkpoints)
    {
        apply(checkpoint);
    }
    for (auto const& placement : command.placements)
    {
        apply(placement, now);
    }
    for (auto const& id : command.begun)
    {
        if (auto const known = m_workflows.find(id); known != m_workflows.end())
        {
            set_begun(known->second);
        }
    }
    if (command.longest_lease > core::duration{})
    {
        m_longest_lease = command.longest_lease;
    }
}

void workflow_table::set_begun(core::workflow_record& workflow)
{
    if (workflow.state == workflow_state::queued)
    {
        set_state(workflow, workflow_state::running);
        m_changed_workflows.add(workflow.workflow);
    }
}

void workflow_table::set_state(core::workflow_record& workflow,
                               core::workflow_state state)
{
    if (workflow.state == workflow_state::queued)
    {
        auto const queued = m_queued.find(core::address_of(workflow.queue));
        if (--queued->second == 0)
        {
            m_queued.erase(queued);
        }
    }
    workflow.state = state;
}

void workflow_table::apply(core::run_outcome const& outcome,
                           core::time_point now)
{
    auto const& ref = outcome.run.task;
    auto const known = m_workflows.find(ref.workflow);
    if (known == m_workflows.end() || !is_held(outcome))
    {
        ++m_ignored_parts;
        return;
    }
    auto& workflow = known->second;
    apply_end(workflow, outcome, now);
    update_unplaced(workflow, ref, now);
    drop_done_record_in(workflow, ref);
}

core::task_record const*
workflow_table::find_late_task(core::task_run const& run) const
{
    auto const* const workflow = find(run.task.workflow);
    if (workflow == nullptr || core::is_final(workflow->state))
    {
        return nullptr;
    }
    auto const* const stage = find_stage(*workflow, run.task);
    auto const* const task = find_task(run.task);
    bool const may_count = stage != nullptr && task != nullptr && !task->done &&
                           !task->earlier && run.attempt <= task->attempt &&
                           !stage->behaviour.long_running;
    return may_count ? task : nullptr;
}

bool workflow_table::accepts_late_end(core::task_run const& run) const
{
    auto const* const task = find_late_task(run);
    if (task == nullptr || !find_stage(run.task)->behaviour.gang)
    {
        return task != nullptr && !task->placed;
    }
    auto const& members = find_stage_record(*find(run.task.workflow),
                                            run.task.occurrence,
                                            run.task.stage)
                              ->tasks;
    return std::none_of(members.begin(),
                        members.end(),
                        [](core::task_record const& member)
                        { return member.placed; });
}

bool workflow_table::waits_for_gang(core::task_run const& run) const
{
    if (find_late_task(run) == nullptr)
    {
        return false;
    }
    auto const members = held_gang_runs(run.task);
    return std::any_of(members.begin(),
                       members.end(),
                       [&run](core::run_placement const& member)
                       { return member.run.attempt == run.attempt; });
}

std::optional<core::run_placement>
workflow_table::run_before_late_end(core::task_run const& run) const
{
    auto const* const task = find_late_task(run);
    if (task == nullptr || !task->placed || run.attempt == task->attempt)
    {
        return std::nullopt;
    }
    auto const& stage = *find_stage(run.task);
    if (may_be_copied(stage) || stage.behaviour.gang)
    {
        return std::nullopt;
    }
    return core::run_placement{
        {run.task, task->attempt}, task->worker, task->life};
}

bool workflow_table::accepts_late_failure(core::task_run const& run) const
{
    auto const* const task = find_late_task(run);
    return task != nullptr && task->uncounted_attempt == run.attempt;
}

bool workflow_table::counts_late(core::ended_run const& ended) const
{
    return (ended.how == run_end::done && accepts_late_end(ended.run)) ||
           (ended.how == run_end::failed && accepts_late_failure(ended.run));
}

void workflow_table::apply_late_failure(core::task_run const& run,
                                        core::time_point now)
{
    auto& workflow = m_workflows.at(run.task.workflow);
    set_begun(workflow);
    m_changed_workflows.add(run.task.workflow);
    find_task_in(workflow, run.task)->uncounted_attempt = {};
    apply_failure(workflow, run, now);
}

void workflow_table::apply_late_end(core::run_outcome const& outcome,
                                    core::time_point now)
{
    auto const& ref = outcome.run.task;
    if (outcome.how == run_end::failed && accepts_late_failure(outcome.run))
    {
        apply_late_failure(outcome.run, now);
        return;
    }
    if (outcome.how != run_end::done || !accepts_late_end(outcome.run))
    {
        ++m_ignored_parts;
        return;
    }
    auto& workflow = m_workflows.at(ref.workflow);
    set_begun(workflow);
    m_unplaced_since.erase(ref);
    m_changed_workflows.add(ref.workflow);
    clear_crashes(ref, *find_task_in(workflow, ref));
    auto& stage = stage_record(workflow, ref);
    if (workflow.description.stages[ref.stage].behaviour.gang)
    {
        // The end of one member is that of all, also of a later attempt's.
        for (auto& member : stage.tasks)
        {
            member.done = true;
        }
    }
    apply_done(workflow, stage, outcome.run, now);
    drop_done_record_in(workflow, ref);
}

void workflow_table::update_unplaced(core::workflow_record& workflow,
                                     core::task_ref const& task,
                                     core::time_point now)
{
    if (core::is_final(workflow.state))
    {
        return;
    }
    auto const* const record = find_task_in(workflow, task);
    if (record != nullptr && !record->placed && !record->earlier &&
        !record->done)
    {
        m_unplaced_since.emplace(task, now);
    }
}

void workflow_table::apply_end(core::workflow_record& workflow,
                               core::run_outcome const& outcome,
                               core::time_point now)
{
    auto const& ref = outcome.run.task;
    auto& task = *find_task_in(workflow, ref);
    remove_hold(outcome);
    task.unresolved_on =
        outcome.is_start_unresolved ? outcome.worker : core::worker_id();
    if (outcome.is_start_unresolved && outcome.how != run_end::failed)
    {
        task.uncounted_attempt = outcome.run.attempt;
    }
    if (task.placed && task.attempt == outcome.run.attempt)
    {
        task.placed = false;
    }
    else
    {
        task.earlier.reset();
    }
    if (core::is_final(workflow.state))
    {
        drop_details(workflow);
        return;
    }
    if (shows_begin(outcome))
    {
        set_begun(workflow);
    }
    auto& stage = stage_record(workflow, ref);
    auto const& description = workflow.description.stages[ref.stage];
    auto const& behaviour = description.behaviour;
    bool const may_have_run =
        shows_begin(outcome) || outcome.how == run_end::lost;
    if (behaviour.long_running && may_have_run)
    {
        m_not_running_since[ref] = now;
    }
    if (task.done && may_be_copied(description))
    {
        return;
    }
    if (!outcome.checkpoint.value().empty())
    {
        apply(core::run_checkpoint{outcome.run, outcome.checkpoint});
    }
    if (shows_survival(outcome))
    {
        clear_crashes(ref, task);
    }
    if (outcome.how == run_end::crashed)
    {
        apply_crash(ref, task, now);
    }
    else if (outcome.how == run_end::suspected)
    {
        add_suspected(outcome, task);
    }
    else if (outcome.how == run_end::done && !behaviour.long_running)
    {
        apply_done(workflow, stage, outcome.run, now);
    }
    else if (outcome.how == run_end::failed && !behaviour.long_running)
    {
        apply_failure(workflow, outcome.run, now);
    }
}

void workflow_table::add_suspected(core::run_outcome const& outcome,
                                   core::task_record& task)
{
    auto const& ref = outcome.run.task;
    if (task.suspected.size() == max_suspected)
    {
        index_suspected(ref, task.suspected.front(), false);
        task.suspected.erase(task.suspected.begin());
    }
    task.suspected.push_back(
        {outcome.run.attempt, outcome.worker, outcome.life});
    index_suspected(ref, task.suspected.back(), true);
}

void workflow_table::index_suspected(core::task_ref const& task,
                                     core::task_attempt const& suspected,
                                     bool is_added)
{
    auto& runs = m_suspected[suspected.worker];
    held_run const run{{task, suspected.attempt}, suspected.life};
    if (is_added)
    {
        runs.insert(run);
        return;
    }
    runs.erase(run);
    if (runs.empty())
    {
        m_suspected.erase(suspected.worker);
    }
}

void workflow_table::clear_suspected(core::task_ref const& ref,
                                     core::task_record& task)
{
    for (auto const& each : std::exchange(task.suspected, {}))
    {
        index_suspected(ref, each, false);
    }
}

void workflow_table::clear_suspected(core::workflow_record& workflow)
{
    for (auto& stage : workflow.stages)
    {
        for (std::size_t i = 0; i < stage.tasks.size(); ++i)
        {
            clear_suspected({workflow.workflow,
                             stage.occurrence,
                             stage.stage,
                             stage.indices[i]},
                            stage.tasks[i]);
        }
    }
}

void workflow_table::resolve(core::run_outcome const& outcome,
                             core::time_point now)
{
    auto const runs = m_suspected.find(outcome.worker);
    if (runs == m_suspected.end() ||
        !runs->second.contains({outcome.run, outcome.life}))
    {
        ++m_ignored_parts;
        return;
    }
    // Suspected runs are kept only for workflows that have not ended.
    auto const& ref = outcome.run.task;
    auto& workflow = m_workflows.at(ref.workflow);
    auto& stage = stage_record(workflow, ref);
    auto& task = *find_task_record(stage, ref.index);
    core::task_attempt const known{
        outcome.run.attempt, outcome.worker, outcome.life};
    std::erase(task.suspected, known);
    index_suspected(ref, known, false);
    m_changed_workflows.add(ref.workflow);
    add_changed_workers(task);
    if (outcome.how == run_end::crashed && !task.done)
    {
        apply_crash(ref, task, now);
    }
    drop_done_record_in(workflow, ref);
}

void workflow_table::apply_done(core::workflow_record& workflow,
                                core::stage_record& stage,
                                core::task_run const& run,
                                core::time_point now)
{
    auto& task = *find_task_record(stage, run.task.index);
    task.done = true;
    add_changed_workers(task);
    if (workflow.description.stages[stage.stage].behaviour.gang)
    {
        // The members of a gang end together, so the end of one member ends
        // the same attempt of all.
        for (auto& member : stage.tasks)
        {
            member.done = member.done || member.attempt == run.attempt;
        }
    }
    if (is_complete(workflow))
    {
        end(workflow, workflow_state::completed, now, {});
    }
}

void workflow_table::apply_failure(core::workflow_record& workflow,
                                   core::task_run const& run,
                                   core::time_point now)
{
    auto& stage = stage_record(workflow, run.task);
    auto failures = ++find_task_record(stage, run.task.index)->failures;
    if (workflow.description.stages[stage.stage].behaviour.gang)
    {
        failures = count_gang_failure(stage, run.attempt);
    }
    if (failures >= workflow.queue.attempts)
    {
        end(workflow,
            workflow_state::failed,
            now,
            "a task failed " + std::to_string(workflow.queue.attempts) +
                " times");
    }
}

void workflow_table::apply_crash(core::task_ref const& ref,
                                 core::task_record& task,
                                 core::time_point now)
{
    // The workflow goes on: callers count only ends `failed` as attempts.
    ++task.crashes;
    if (task.crashes >= crashes_before_delay)
    {
        m_last_crashes[ref] = now;
    }
}

void workflow_table::clear_crashes(core::task_ref const& ref,
                                   core::task_record& task)
{
    task.crashes = 0;
    m_last_crashes.erase(ref);
    clear_suspected(ref, task);
}

void workflow_table::apply(core::run_checkpoint const& checkpoint)
{
    auto const known = m_workflows.find(checkpoint.run.task.workflow);
    auto* const task = known == m_workflows.end()
                           ? nullptr
                           : find_task_in(known->second, checkpoint.run.task);
    if (task == nullptr || task->done ||
        task->attempt != checkpoint.run.attempt)
    {
        ++m_ignored_parts;
        return;
    }
    auto& workflow = known->second;
    task->checkpoint = checkpoint.checkpoint;
    if (workflow.description.stages[checkpoint.run.task.stage].behaviour.gang)
    {
        for (auto& member : stage_record(workflow, checkpoint.run.task).tasks)
        {
            member.checkpoint = checkpoint.checkpoint;
        }
    }
}

void workflow_table::apply(core::run_placement const& placement,
                           core::time_point now)
{
    auto const& ref = placement.run.task;
    auto const known = m_workflows.find(ref.workflow);
    if (known == m_workflows.end() || core::is_final(known->second.state) ||
        find_stage(known->second, ref) == nullptr ||
        !is_ready(known->second, ref.occurrence, ref.stage))
    {
        ++m_ignored_parts;
        return;
    }
    auto& workflow = known->second;
    auto& stage = stage_record(workflow, ref);
    if (is_task_done(stage, ref.index))
    {
        ++m_ignored_parts;
        return;
    }
    auto& task = add_task_record(stage, ref.index);
    bool const is_free =
        placement.is_copy
            ? may_take_copy(workflow.description.stages[ref.stage],
                            task,
                            placement.worker)
            : !task.placed && !task.earlier;
    if (!is_free || placement.run.attempt <= task.attempt)
    {
        ++m_ignored_parts;
        return;
    }
    if (task.placed)
    {
        task.earlier = {task.attempt, task.worker, task.life};
    }
    task.placed = true;
    task.attempt = placement.run.attempt;
    task.worker = placement.worker;
    task.life = placement.life;
    m_unplaced_since.erase(ref);
    if (workflow.description.stages[ref.stage].behaviour.long_running)
    {
        m_not_running_since.try_emplace(ref, now);
    }
    add_hold(ref, {task.attempt, task.worker, task.life});
}

} // namespace turmericswitch::workflow
