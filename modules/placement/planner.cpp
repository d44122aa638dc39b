#include "placement/planner.hpp"

#include "placement/policy/placement_pass.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::placement
{

namespace
{

// Learned run times change the latest start of queued jobs.
constexpr core::duration rerank_interval = std::chrono::minutes(10);
constexpr core::duration zone_update_interval = std::chrono::seconds(1);

} // namespace

planner::planner(planner_options options)
    : m_state{std::move(options),
              {},
              {},
              {},
              {},
              {},
              {},
              {},
              {},
              {},
              {},
              {},
              {}},
      m_pressure(m_state),
      m_evacuator(m_state),
      m_failures(m_state, m_next_decisions)
{
}

void planner::worker_changed(core::time_point now,
                             core::worker_description const& description)
{
    auto const slot = m_state.workers.put_worker(description);
    m_state.workers.worker(slot).lost = false;
    m_retired_slots.erase(slot);
    m_state.workers.update_index(slot);
    m_state.under_pressure.insert(slot);
    m_evacuator.update_workers(now);
    mark_all_unranked();
}

void planner::worker_lost(core::time_point /*now*/,
                          core::worker_id const& worker)
{
    if (auto const slot = m_state.workers.slot_of(worker))
    {
        m_state.workers.worker(*slot).lost = true;
        m_state.workers.update_index(*slot);
    }
}

void planner::worker_retired(core::time_point now,
                             core::worker_id const& worker)
{
    worker_lost(now, worker);
    if (auto const slot = m_state.workers.slot_of(worker))
    {
        m_retired_slots.insert(*slot);
        remove_retired_workers();
    }
}

void planner::remove_retired_workers()
{
    auto const is_empty = [&](std::size_t slot)
    {
        if (!m_state.workers.worker(slot).tasks.empty())
        {
            return false;
        }
        capacity_reclaimer::release_hold_of(m_state, slot);
        m_state.workers.remove_worker(slot);
        m_failures.worker_removed(slot);
        m_state.under_pressure.erase(slot);
        return true;
    };
    if (std::erase_if(m_retired_slots, is_empty) > 0)
    {
        mark_all_unranked();
    }
}

void planner::mark_all_unranked()
{
    for (auto const& [job, task] : m_state.workers.jobs())
    {
        if (task.phase == task_phase::queued)
        {
            m_unranked_jobs.insert(job);
        }
    }
}

void planner::job_queued(core::time_point now, queued_job const& job)
{
    auto* known = m_state.workers.find(job.job);
    if (known != nullptr && known->holds_capacity() &&
        job.next_attempt <= known->attempt)
    {
        // A repeated event: the attempt already holds capacity.
        return;
    }
    auto& task = known != nullptr ? *known : m_state.workers.add_job(job.job);
    if (known == nullptr)
    {
        task.first_queued = now;
    }
    else
    {
        m_state.queue.remove(task);
        m_state.workers.release(now, task);
    }
    task.spec = job;
    task.kind = m_state.rules.intern(job.kind);
    enqueue(now, task);
    remove_retired_workers();
}

void planner::enqueue(core::time_point now, task_entry& task)
{
    task.phase = task_phase::queued;
    task.queued_since = now;
    task.wait_reason = "";
    task.ranked = false;
    m_unranked_jobs.insert(task.spec.job);
}

void planner::task_restored(core::time_point now, restored_task const& restored)
{
    auto const slot = m_state.workers.slot_of(restored.worker);
    if (!slot)
    {
        return;
    }
    job_queued(now, restored.job);
    auto& task = *m_state.workers.find(restored.job.job);
    rank(task);
    m_unranked_jobs.erase(restored.job.job);
    auto const& reserved = restored.reserved;
    m_state.workers.reserve(now, task, *slot, reserved, reserved);
    task.attempt = restored.attempt;
    task.phase = restored.evicting ? task_phase::evicting : task_phase::running;
    task.phase_before_stop = task_phase::running;
}

task_entry* planner::find_active(core::job_id job, core::attempt_number attempt)
{
    auto* task = m_state.workers.find(job);
    bool const current =
        task != nullptr && task->holds_capacity() && task->attempt == attempt;
    return current ? task : nullptr;
}

void planner::job_started(core::time_point now,
                          core::job_id job,
                          core::attempt_number attempt)
{
    auto* task = find_active(job, attempt);
    if (task != nullptr && task->phase == task_phase::starting)
    {
        task->phase = task_phase::running;
        task->checkpointed_at = now;
    }
}

void planner::job_checkpointed(core::time_point now,
                               core::job_id job,
                               core::attempt_number attempt)
{
    if (auto* task = find_active(job, attempt))
    {
        task->checkpointed_at = now;
    }
}

void planner::job_evicting(core::time_point /*now*/,
                           core::job_id job,
                           core::attempt_number attempt)
{
    auto* task = find_active(job, attempt);
    if (task != nullptr && task->is_active())
    {
        task->phase_before_stop = task->phase;
        task->phase = task_phase::evicting;
    }
}

void planner::attempt_failed(core::time_point now,
                             core::job_id job,
                             core::attempt_number attempt)
{
    if (auto* task = find_active(job, attempt))
    {
        m_failures.attempt_failed(now, *task);
    }
}

void planner::job_ended(core::time_point now,
                        core::job_id job,
                        terminal_state state)
{
    auto* task = m_state.workers.find(job);
    if (task == nullptr)
    {
        return;
    }
    if (task->holds_capacity() && state == terminal_state::finished)
    {
        m_failures.task_finished(*task);
        m_state.usage.finished(task->kind, task->spec.team);
        m_state.run_times.finished(task->kind,
                                   task->spec.team,
                                   task->spec.expected_run_time,
                                   now - task->placed_at);
    }
    m_state.queue.remove(*task);
    m_state.workers.release(now, *task);
    capacity_reclaimer::release_hold_of(m_state, task->hold_slot);
    m_unranked_jobs.erase(job);
    m_failures.job_removed(job);
    m_state.workers.remove_job(job);
    remove_retired_workers();
}

void planner::usage_reported(core::time_point now,
                             core::worker_id const& worker,
                             core::usage_sample const& sample)
{
    if (auto const slot = m_state.workers.slot_of(worker))
    {
        m_pressure.learn(now, *slot, sample);
    }
}

void planner::configuration_changed(core::time_point now,
                                    core::configuration const& config)
{
    m_state.rules.replace(config);
    for (auto const& rule : config.zones)
    {
        m_state.zones.set(now, rule.zone, rule.state);
    }
    m_evacuator.update_workers(now);
    mark_all_unranked();
}

void planner::zone_changed(core::time_point now,
                           core::zone_id const& zone,
                           core::zone_state state)
{
    if (m_state.zones.set(now, zone, state))
    {
        m_evacuator.update_workers(now);
    }
}

void planner::placement_dropped(core::time_point now,
                                core::job_id job,
                                core::attempt_number attempt)
{
    auto* task = find_active(job, attempt);
    if (task != nullptr && task->phase == task_phase::starting)
    {
        m_state.workers.release(now, *task);
        auto const since = task->queued_since;
        enqueue(now, *task);
        task->queued_since = since;
        remove_retired_workers();
    }
}

void planner::eviction_dropped(core::job_id job, core::attempt_number attempt)
{
    auto* task = find_active(job, attempt);
    if (task != nullptr && task->phase == task_phase::evicting)
    {
        task->phase = task->phase_before_stop;
    }
}

void planner::stop_dropped(core::job_id job)
{
    auto* task = m_state.workers.find(job);
    if (task != nullptr && task->phase == task_phase::stopping)
    {
        task->phase = task_phase::queued;
        m_unranked_jobs.insert(job);
        if (task->failures > 0)
        {
            m_failures.stop_not_committed(job);
        }
    }
}

void planner::rank(task_entry& task)
{
    m_state.queue.remove(task);
    auto const& spec = task.spec;
    task.priority = m_state.rules.priority(task.kind, spec.priority);
    core::wall_time const submitted(task.first_queued.time_since_epoch() +
                                    m_wall_offset);
    auto const due =
        m_state.rules.deadline(task.kind, spec.deadline, submitted);
    task.deadline = core::time_point::max();
    task.latest_start = core::time_point::max();
    if (due)
    {
        task.deadline =
            core::time_point(due->time_since_epoch() - m_wall_offset);
        task.latest_start =
            task.deadline - m_state.run_times.estimate(
                                task.kind, spec.team, spec.expected_run_time);
    }
    else if (!task.is_batch())
    {
        task.latest_start = task.first_queued;
    }
    task.ranked = true;
}

void planner::rank_restored()
{
    for (auto& [job, task] : m_state.workers.jobs())
    {
        if (task.holds_capacity())
        {
            rank(task);
        }
    }
}

void planner::queue_unranked_jobs()
{
    tick_decisions& decisions = m_next_decisions;
    auto const unranked = std::exchange(m_unranked_jobs, {});
    for (auto const job : unranked)
    {
        auto* task = m_state.workers.find(job);
        if (task == nullptr || task->phase != task_phase::queued)
        {
            continue;
        }
        rank(*task);
        if (!refuse_if_infeasible(*task, decisions))
        {
            m_state.queue.add(*task);
        }
    }
    for (auto const job : m_failures.take_faulty_queued_jobs())
    {
        stop(*m_state.workers.find(job),
             core::result_code::job_failed,
             "failed on several healthy workers",
             decisions);
    }
}

bool planner::refuse_if_infeasible(task_entry& task, tick_decisions& decisions)
{
    auto const& declared = task.spec.declared;
    auto const quota = m_state.rules.quota(task.spec.team);
    if (quota && !core::fits_in(declared, *quota))
    {
        stop(task,
             core::result_code::quota_exceeded,
             "needs more than the whole quota of team " +
                 task.spec.team.value(),
             decisions);
        return true;
    }
    bool const any_worker = m_state.workers.total() != core::resources{};
    if (any_worker && !m_state.workers.largest_fitting_capacity(declared))
    {
        stop(task,
             core::result_code::job_never_fits,
             "fits no worker, even an empty one",
             decisions);
        return true;
    }
    return false;
}

void planner::stop(task_entry& task,
                   core::result_code code,
                   std::string const& reason,
                   tick_decisions& decisions)
{
    m_state.queue.remove(task);
    task.phase = task_phase::stopping;
    core::stop_job command;
    command.job = task.spec.job;
    command.code = code;
    command.reason = reason;
    decisions.batch.stops.push_back(command);
    auto record = job_record(task.spec.job, "refuse", "", {reason});
    record.code = code;
    decisions.records.push_back(std::move(record));
}

tick_decisions planner::tick(core::time_point now, core::wall_time wall)
{
    m_wall_offset = wall.time_since_epoch() - now.time_since_epoch();
    if (!std::exchange(m_ticked, true))
    {
        rank_restored();
    }
    if (now - m_last_zone_update >= zone_update_interval)
    {
        m_evacuator.update_workers(now);
        m_last_zone_update = now;
    }
    if (now - m_last_rerank >= rerank_interval)
    {
        m_last_rerank = now;
        mark_all_unranked();
    }
    m_failures.run_probes(now);
    queue_unranked_jobs();
    auto decisions = std::exchange(m_next_decisions, {});
    m_pressure.run(now, decisions);
    m_evacuator.run(now, decisions);
    placement_pass(m_state, now, decisions).run();
    capacity_reclaimer::release_holds(m_state, now);
    return decisions;
}

planner_counts planner::counts() const
{
    planner_counts counts;
    counts.queued = m_state.queue.size();
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto const& worker = m_state.workers.worker(slot);
        counts.workers += worker.present ? 1 : 0;
        bool const bad =
            worker.present && worker.health == worker_health::quarantined;
        counts.quarantined += bad ? 1 : 0;
    }
    counts.learned_pairs = m_state.interference.size();
    counts.learned_sizes = m_state.usage.size();
    return counts;
}

core::resources planner::reserved_on(core::worker_id const& worker) const
{
    auto const slot = m_state.workers.slot_of(worker);
    return slot ? m_state.workers.worker(*slot).reserved : core::resources{};
}

interference_model const& planner::interference() const noexcept
{
    return m_state.interference;
}

kind_index planner::kind_of(core::task_kind const& kind)
{
    return m_state.rules.intern(kind);
}

} // namespace turmericswitch::placement
