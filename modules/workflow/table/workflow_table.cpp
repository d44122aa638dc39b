#include "workflow/table/workflow_table.hpp"

#include "core/config/queue_address.hpp"
#include "workflow/table/stage_tasks.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

using core::workflow_state;

bool is_valid_task(core::workflow_record const& workflow,
                   core::task_ref const& task)
{
    auto const& stages = workflow.description.stages;
    return task.occurrence < workflow_table::occurrences_of(workflow) &&
           task.stage < stages.size() && task.index < stages[task.stage].tasks;
}

/// Stands for the record of each done task that has none.
core::task_record const& done_task()
{
    static core::task_record const record = []
    {
        core::task_record done;
        done.done = true;
        return done;
    }();
    return record;
}

void erase_tasks(std::map<core::task_ref, core::time_point>& times,
                 core::workflow_id const& workflow)
{
    auto const first = times.lower_bound({workflow, 0, 0, 0});
    auto last = first;
    while (last != times.end() && last->first.workflow == workflow)
    {
        ++last;
    }
    times.erase(first, last);
}

} // namespace

core::command_reply workflow_table::submit(core::submit_workflow const& command,
                                           core::queue_rule const& queue,
                                           core::time_point now)
{
    core::command_reply reply;
    if (auto const known = m_workflows.find(command.workflow);
        known != m_workflows.end())
    {
        if (!core::is_for(known->second.queue, command.queue, command.address))
        {
            reply.code = core::result_code::job_invalid;
            reply.text = "the id belongs to a job at another address";
        }
        return reply;
    }
    if (m_unknown_cancels.contains(command, now))
    {
        reply.code = core::result_code::not_admitted;
        reply.text = "it was cancelled before it arrived";
        return reply;
    }
    core::workflow_record record;
    record.workflow = command.workflow;
    record.queue = queue;
    record.description = command.description;
    record.submitted = now;
    m_workflows.emplace(command.workflow, std::move(record));
    m_active.insert(command.workflow);
    ++m_queued[core::address_of(queue)];
    m_changed_workflows.add(command.workflow);
    return reply;
}

core::command_reply workflow_table::cancel(core::cancel_workflow const& command,
                                           core::time_point now)
{
    core::command_reply reply;
    auto const known = m_workflows.find(command.workflow);
    if (known == m_workflows.end() ||
        !core::is_for(known->second.queue, command.queue, command.address))
    {
        reply.code = core::result_code::job_unknown;
        reply.text = "no such job";
        m_unknown_cancels.add(command, now);
        return reply;
    }
    if (!core::is_final(known->second.state))
    {
        end(known->second, workflow_state::cancelled, now, "cancelled");
    }
    return reply;
}

void workflow_table::prune(core::time_point now, std::size_t max_removed)
{
    m_unknown_cancels.expire(now, max_removed);
    std::erase_if(m_workflows,
                  [&](auto const& item)
                  {
                      bool const is_old =
                          core::is_final(item.second.state) &&
                          now - item.second.ended > final_retention &&
                          !m_held_by_workflow.contains(item.first);
                      if (is_old && max_removed > 0)
                      {
                          --max_removed;
                          return true;
                      }
                      return false;
                  });
}

core::workflow_record const*
workflow_table::find(core::workflow_id const& id) const
{
    auto const known = m_workflows.find(id);
    return known == m_workflows.end() ? nullptr : &known->second;
}

core::workflow_record const*
workflow_table::find(core::queue_id const& queue,
                     core::queue_address const& address,
                     core::workflow_id const& id) const
{
    auto const* const known = find(id);
    return known != nullptr && core::is_for(known->queue, queue, address)
               ? known
               : nullptr;
}

core::task_record const*
workflow_table::find_task(core::task_ref const& task) const
{
    auto const* const workflow = find(task.workflow);
    auto const* const stage =
        workflow == nullptr
            ? nullptr
            : find_stage_record(*workflow, task.occurrence, task.stage);
    if (stage == nullptr)
    {
        return nullptr;
    }
    auto const* const record = find_task_record(*stage, task.index);
    return record == nullptr && is_task_done(*stage, task.index) ? &done_task()
                                                                 : record;
}

core::stage_description const*
workflow_table::find_stage(core::task_ref const& task) const
{
    auto const* const workflow = find(task.workflow);
    return workflow == nullptr ? nullptr : find_stage(*workflow, task);
}

core::stage_description const*
workflow_table::find_stage(core::workflow_record const& workflow,
                           core::task_ref const& task)
{
    return is_valid_task(workflow, task)
               ? &workflow.description.stages[task.stage]
               : nullptr;
}

bool workflow_table::is_held(core::run_outcome const& outcome) const
{
    return is_held(outcome.run, outcome.worker, outcome.life);
}

bool workflow_table::is_held(core::task_run const& run,
                             core::worker_id const& worker,
                             core::incarnation life) const
{
    auto const holds = m_holds.find(worker);
    return holds != m_holds.end() && holds->second.contains({run, life});
}

std::optional<core::incarnation>
workflow_table::held_incarnation(core::task_run const& run,
                                 core::worker_id const& worker) const
{
    auto const& held = held_on(worker);
    auto const found = held.lower_bound({run, core::incarnation(0)});
    return found != held.end() && found->run == run ? std::optional(found->life)
                                                    : std::nullopt;
}

std::set<held_run> const&
workflow_table::held_on(core::worker_id const& worker) const
{
    static std::set<held_run> const none;
    auto const holds = m_holds.find(worker);
    return holds == m_holds.end() ? none : holds->second;
}

std::map<core::worker_id, std::set<held_run>> const&
workflow_table::holds() const noexcept
{
    return m_holds;
}

std::map<core::worker_id, std::set<held_run>> const&
workflow_table::suspected() const noexcept
{
    return m_suspected;
}

bool workflow_table::is_settled(
    core::worker_incarnation const& incarnation) const
{
    auto const is_on = [&incarnation](held_run const& each)
    { return each.life == incarnation.life; };
    auto const suspects = m_suspected.find(incarnation.worker);
    auto const& held = held_on(incarnation.worker);
    return std::none_of(held.begin(), held.end(), is_on) &&
           (suspects == m_suspected.end() ||
            std::none_of(
                suspects->second.begin(), suspects->second.end(), is_on));
}

std::set<core::workflow_id> const& workflow_table::active() const noexcept
{
    return m_active;
}

std::uint64_t workflow_table::waiting(core::queue_address const& queue) const
{
    auto const queued = m_queued.find(queue);
    return queued == m_queued.end() ? 0 : queued->second;
}

core::stage_record*
workflow_table::find_stage_record(core::workflow_record& workflow,
                                  std::uint32_t occurrence,
                                  std::uint32_t stage)
{
    return const_cast<core::stage_record*>(
        find_stage_record(std::as_const(workflow), occurrence, stage));
}

core::stage_record const*
workflow_table::find_stage_record(core::workflow_record const& workflow,
                                  std::uint32_t occurrence,
                                  std::uint32_t stage)
{
    for (auto const& record : workflow.stages)
    {
        if (record.occurrence == occurrence && record.stage == stage)
        {
            return &record;
        }
    }
    return nullptr;
}

bool workflow_table::may_be_copied(
    core::stage_description const& stage) noexcept
{
    auto const& behaviour = stage.behaviour;
    return behaviour.speculative && !behaviour.gang && !behaviour.long_running;
}

bool workflow_table::is_stage_done(core::stage_record const& stage,
                                   std::uint32_t tasks)
{
    return count_done(stage) == tasks;
}

std::uint32_t
workflow_table::occurrences_of(core::workflow_record const& workflow)
{
    return std::max(workflow.description.schedule.occurrences, 1U);
}

bool workflow_table::is_ready(core::workflow_record const& workflow,
                              std::uint32_t occurrence,
                              std::uint32_t stage)
{
    auto const& stages = workflow.description.stages;
    auto const& after = stages[stage].after;
    return std::all_of(after.begin(),
                       after.end(),
                       [&](std::uint32_t earlier)
                       {
                           auto const* const record =
                               find_stage_record(workflow, occurrence, earlier);
                           return record != nullptr &&
                                  is_stage_done(*record, stages[earlier].tasks);
                       });
}

change_log<core::workflow_id> const&
workflow_table::changed_workflows() const noexcept
{
    return m_changed_workflows;
}

change_log<core::worker_id> const&
workflow_table::changed_workers() const noexcept
{
    return m_changed_workers;
}

std::uint64_t workflow_table::ignored_parts() const noexcept
{
    return m_ignored_parts;
}

core::duration workflow_table::longest_lease() const noexcept
{
    return m_longest_lease;
}

std::optional<core::time_point>
workflow_table::not_running_since(core::task_ref const& task) const
{
    auto const known = m_not_running_since.find(task);
    return known == m_not_running_since.end() ? std::nullopt
                                              : std::optional(known->second);
}

std::optional<core::time_point>
workflow_table::unplaced_since(core::task_ref const& task) const
{
    auto const known = m_unplaced_since.find(task);
    return known == m_unplaced_since.end() ? std::nullopt
                                           : std::optional(known->second);
}

std::map<core::task_ref, core::time_point> const&
workflow_table::last_crashes() const noexcept
{
    return m_last_crashes;
}

std::vector<core::workflow_record> workflow_table::records() const
{
    std::vector<core::workflow_record> all;
    all.reserve(m_workflows.size());
    for (auto const& [id, record] : m_workflows)
    {
        all.push_back(record);
    }
    return all;
}

std::vector<core::unknown_cancel_record> workflow_table::cancel_records() const
{
    return m_unknown_cancels.records();
}

void workflow_table::restore(
    std::vector<core::workflow_record> records,
    core::duration longest_lease,
    std::vector<core::unknown_cancel_record> const& cancels)
{
    m_unknown_cancels = {};
    for (auto const& cancel : cancels)
    {
        m_unknown_cancels.restore(cancel);
    }
    m_longest_lease = longest_lease;
    m_workflows.clear();
    m_active.clear();
    m_queued.clear();
    m_holds.clear();
    m_suspected.clear();
    m_held_by_workflow.clear();
    m_unplaced_since.clear();
    m_not_running_since.clear();
    m_last_crashes.clear();
    m_ignored_parts = 0;
    for (auto& record : records)
    {
        auto const id = record.workflow;
        if (!core::is_final(record.state))
        {
            m_active.insert(id);
        }
        if (record.state == workflow_state::queued)
        {
            ++m_queued[core::address_of(record.queue)];
        }
        for (auto& stage : record.stages)
        {
            drop_needless_records(stage);
            for (std::size_t i = 0; i < stage.tasks.size(); ++i)
            {
                auto const& task = stage.tasks[i];
                core::task_ref const ref{
                    id, stage.occurrence, stage.stage, stage.indices[i]};
                if (task.placed)
                {
                    add_hold(ref, {task.attempt, task.worker, task.life});
                }
                if (task.earlier)
                {
                    add_hold(ref, *task.earlier);
                }
                for (auto const& each : task.suspected)
                {
                    index_suspected(ref, each, true);
                }
            }
        }
        m_workflows.emplace(id, std::move(record));
    }
    m_changed_workflows.add_everything();
    m_changed_workers.add_everything();
}

void workflow_table::end(core::workflow_record& workflow,
                         core::workflow_state state,
                         core::time_point now,
                         std::string reason)
{
    set_state(workflow, state);
    workflow.ended = now;
    workflow.reason = std::move(reason);
    m_active.erase(workflow.workflow);
    erase_tasks(m_unplaced_since, workflow.workflow);
    erase_tasks(m_not_running_since, workflow.workflow);
    erase_tasks(m_last_crashes, workflow.workflow);
    m_changed_workflows.add(workflow.workflow);
    add_changed_workers(workflow);
    clear_suspected(workflow);
    drop_details(workflow);
}

std::vector<core::run_placement>
workflow_table::held_gang_runs(core::task_ref const& task) const
{
    auto const* const workflow = find(task.workflow);
    auto const* const stage = find_stage(task);
    auto const* const record =
        workflow == nullptr || stage == nullptr || !stage->behaviour.gang
            ? nullptr
            : find_stage_record(*workflow, task.occurrence, task.stage);
    std::vector<core::run_placement> runs;
    if (record == nullptr)
    {
        return runs;
    }
    for (std::size_t i = 0; i < record->tasks.size(); ++i)
    {
        auto const& member = record->tasks[i];
        if (member.placed)
        {
            core::task_ref const ref{
                task.workflow, task.occurrence, task.stage, record->indices[i]};
            runs.push_back({{ref, member.attempt}, member.worker, member.life});
        }
    }
    return runs;
}

void workflow_table::add_changed_workers(core::task_record const& task)
{
    if (task.placed)
    {
        m_changed_workers.add(task.worker);
    }
    if (task.earlier)
    {
        m_changed_workers.add(task.earlier->worker);
    }
}

void workflow_table::add_changed_workers(core::workflow_record const& workflow)
{
    for (auto const& stage : workflow.stages)
    {
        for (auto const& task : stage.tasks)
        {
            add_changed_workers(task);
        }
    }
}

void workflow_table::drop_details(core::workflow_record& workflow)
{
    // Records stay for minutes after the end. The payload and the tasks, which
    // are nearly all of their size, are dropped as soon as no run is held.
    if (!m_held_by_workflow.contains(workflow.workflow))
    {
        workflow.description = {};
        workflow.stages.clear();
    }
}

void workflow_table::add_hold(core::task_ref const& task,
                              core::task_attempt const& held)
{
    m_holds[held.worker].insert({{task, held.attempt}, held.life});
    ++m_held_by_workflow[task.workflow];
    m_changed_workflows.add(task.workflow);
    m_changed_workers.add(held.worker);
}

void workflow_table::remove_hold(core::run_outcome const& outcome)
{
    auto const worker = m_holds.find(outcome.worker);
    worker->second.erase({outcome.run, outcome.life});
    if (worker->second.empty())
    {
        m_holds.erase(worker);
    }
    auto const& id = outcome.run.task.workflow;
    auto const count = m_held_by_workflow.find(id);
    if (--count->second == 0)
    {
        m_held_by_workflow.erase(count);
    }
    m_changed_workflows.add(id);
    m_changed_workers.add(outcome.worker);
}

core::stage_record&
workflow_table::stage_record(core::workflow_record& workflow,
                             core::task_ref const& task)
{
    if (auto* const known =
            find_stage_record(workflow, task.occurrence, task.stage))
    {
        return *known;
    }
    core::stage_record added;
    added.occurrence = task.occurrence;
    added.stage = task.stage;
    workflow.stages.push_back(std::move(added));
    return workflow.stages.back();
}

} // namespace turmericswitch::workflow
