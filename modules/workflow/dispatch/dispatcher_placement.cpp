#include "workflow/dispatch/dispatcher.hpp"

#include "core/config/queue_address.hpp"
#include "workflow/dispatch/dispatch_events.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Placements per command, which bounds the time of a log append and its
/// fsync.
constexpr std::size_t max_placements = 200;

/// After this many missed reports a worker gets no new tasks.
constexpr int max_missed_reports = 3;

/// With less of the lease left, it may expire before a start reaches the
/// worker.
constexpr core::duration min_lease_left = std::chrono::milliseconds(1500);

/// Time between two searches for tasks to evict; each of them computes a trial
/// plan.
constexpr core::duration eviction_interval = std::chrono::milliseconds(500);

/// Time between two searches for workers for the waiting tasks while no
/// workflow ends or arrives. It covers changes of the spare CPU and of leases.
constexpr core::duration placement_interval = std::chrono::milliseconds(100);

} // namespace

bool dispatcher::is_reporting(core::time_point now,
                              worker_view const& view) const
{
    return now - view.reported_at <
           m_options.report_interval * max_missed_reports;
}

bool dispatcher::is_evacuated(worker_view const& view,
                              core::configuration const& config)
{
    return std::find(config.evacuated.begin(),
                     config.evacuated.end(),
                     view.profile.zone) != config.evacuated.end();
}

bool dispatcher::is_eligible(core::time_point now,
                             worker_view const& view,
                             core::configuration const& config) const
{
    bool const is_leased = view.granted_until - view.clock >
                           (now - view.clock_changed_at) + min_lease_left;
    return view.has_runs && !view.left && !view.is_silent &&
           !view.profile.draining && is_reporting(now, view) && is_leased &&
           !is_evacuated(view, config) &&
           (!m_health.is_quarantined(now, view.profile.worker) ||
            m_health.is_trial_due(now, view.profile.worker));
}

std::vector<candidate_worker*>
dispatcher::candidates(core::time_point now, core::configuration const& config)
{
    auto workers =
        m_candidates.collect(now,
                             [&](worker_view const& view)
                             { return is_eligible(now, view, config); });
    for (auto* const each : workers)
    {
        each->is_trial = m_health.is_quarantined(now, each->worker);
        each->trials_left = each->is_trial ? 1 : 0;
        each->is_steady = m_fleet.is_steady(each->worker);
    }
    return workers;
}

bool dispatcher::is_evictable(core::task_run const& run) const
{
    auto const* const stage = m_table.find_stage(run.task);
    return stage != nullptr && stage->behaviour.checkpoints &&
           !stage->behaviour.gang && !m_orders.evicting().contains(run);
}

void dispatcher::evict_stalled(core::time_point now,
                               std::vector<candidate_worker*> const& workers)
{
    if (now < m_next_eviction)
    {
        return;
    }
    m_next_eviction = now + eviction_interval;
    for (auto const& [id, view] : m_fleet.all())
    {
        auto const& worker = id;
        for (auto const& run : m_colocation.stalled(now, worker))
        {
            if (!is_evictable(run))
            {
                continue;
            }
            pending_stage moved;
            moved.stage = stage_of(run.task);
            moved.description = m_table.find_stage(run.task);
            moved.service = m_table.find(run.task.workflow)->queue.service;
            moved.runs = {run};
            auto elsewhere = workers;
            std::erase_if(elsewhere,
                          [&worker](candidate_worker const* each)
                          { return each->worker == worker || each->is_trial; });
            auto const found =
                plan_stages({&moved}, elsewhere, 1, make_tail_hook());
            if (found.empty())
            {
                continue;
            }
            m_orders.evict(worker, run);
            m_candidates.mark_changed(found.front().worker);
            m_on_event(run_evicted_event(worker, run, found.front().worker));
        }
    }
}

void dispatcher::preempt(core::time_point now,
                         std::vector<pending_stage const*> const& waiting,
                         std::vector<core::run_placement> const& placed,
                         std::vector<candidate_worker*> const& workers)
{
    if (!m_options.overload.preemption)
    {
        return;
    }
    for (auto const& each : m_preemption.plan(now, waiting, placed, workers))
    {
        m_orders.evict(each.worker, each.victim.run);
        m_candidates.mark_changed(each.worker);
        m_on_event(run_preempted_event(each));
    }
}

preemption_planner::planner_hooks dispatcher::preemption_hooks() const
{
    return {[this](stage_ref const& stage)
            { return m_backlog.waiting_since(stage); },
            [this](core::worker_id const& worker, core::task_run const& run)
            { return m_colocation.pace(worker, run); },
            [this](core::task_run const& run) { return is_evictable(run); },
            make_tail_hook()};
}

tail_hook dispatcher::make_tail_hook() const
{
    return [this](core::worker_id const& worker, cpu_by_image const& added)
    { return m_colocation.predicted_tail(worker, added); };
}

void dispatcher::move_next(core::time_point now)
{
    if (auto const move = m_moves.take_next(now, m_orders.evicting()))
    {
        m_orders.evict(move->worker, move->run);
        m_on_event(run_moved_event(*move));
    }
}

placement_policy dispatcher::make_policy(core::time_point now) const
{
    placement_policy policy;
    policy.wide = m_options.placement.packing ? &m_wide : nullptr;
    if (m_options.placement.speed)
    {
        policy.speed =
            [this, now](core::worker_id const& worker, std::string const& image)
        { return m_speeds.speed(now, worker, image); };
        policy.running = [this, now](stage_ref const& stage)
        { return running_tasks(now, stage); };
    }
    return policy;
}

std::vector<running_task_time>
dispatcher::running_tasks(core::time_point now, stage_ref const& stage) const
{
    std::vector<running_task_time> result;
    auto const& [id, occurrence, number] = stage;
    auto const* const workflow = m_table.find(id);
    auto const* const record =
        workflow_table::find_stage_record(*workflow, occurrence, number);
    auto const expected =
        m_run_times.expected(core::address_of(workflow->queue),
                             workflow->description.stages[number]);
    if (record == nullptr || expected <= core::duration{})
    {
        return result;
    }
    for (std::size_t i = 0; i < record->tasks.size(); ++i)
    {
        auto const& task = record->tasks[i];
        auto const known = m_placed_at.find(
            {{id, occurrence, number, record->indices[i]}, task.attempt});
        if (task.placed && known != m_placed_at.end())
        {
            using ratio = std::chrono::duration<double>;
            result.push_back(
                {task.worker, ratio(now - known->second) / ratio(expected)});
        }
    }
    return result;
}

void dispatcher::report_oversized(
    core::time_point now, std::vector<pending_stage const*> const& waiting)
{
    auto const found = m_oversized.find_new(
        now,
        waiting,
        m_fleet,
        [this, now](stage_ref const& stage)
        { return m_backlog.waiting_since(stage).value_or(now); });
    for (auto const& each : found)
    {
        m_on_event(task_fits_nowhere_event(each));
    }
}

bool dispatcher::take_placement_due(plan_times const& times,
                                    core::configuration const& config)
{
    auto const changes = m_table.changed_workflows().end();
    bool const is_due = m_placement_due || times.now >= m_next_placement ||
                        m_planned_changes != changes ||
                        m_evacuated != config.evacuated ||
                        m_backlog.is_occurrence_due(times.wall);
    if (is_due)
    {
        m_placement_due = false;
        m_next_placement = times.now + placement_interval;
        m_planned_changes = changes;
        m_evacuated = config.evacuated;
    }
    return is_due;
}

void dispatcher::place_tasks(plan_times const& times,
                             core::configuration const& config,
                             core::workflow_progress& command)
{
    update_accounts(times);
    auto const waiting = m_start_affinity.restrict_workers(
        times,
        m_isolation_timeout.apply(
            times.cluster,
            m_fleet.all().size(),
            m_crash_backoff.without_delayed(times, m_backlog.collect(times))));
    m_trace.clear();
    m_planned = times;
    // Skips the candidates when there is nothing to place or evict.
    auto const to_copy = m_copies.collect(times.now);
    if (waiting.empty() && to_copy.empty() && times.now < m_next_eviction)
    {
        return;
    }
    auto const workers = candidates(times.now, config);
    plan_waiting(times, waiting, workers, command);
    place_copies(to_copy, workers, command);
    for (auto const& placed : command.placements)
    {
        m_candidates.mark_changed(placed.worker);
    }
    report_oversized(times.now, waiting);
    evict_stalled(times.now, workers);
    move_next(times.now);
    preempt(times.now, waiting, command.placements, workers);
    for (auto const* const each : workers)
    {
        // Workers that the plan closed are open again for the next one.
        if (!each->isolated_for.value().empty())
        {
            m_candidates.mark_changed(each->worker);
        }
    }
}

void dispatcher::plan_waiting(plan_times const& times,
                              std::vector<pending_stage const*> const& waiting,
                              std::vector<candidate_worker*> const& workers,
                              core::workflow_progress& command)
{
    m_wide.observe(times.now, waiting, workers);
    auto policy = make_policy(times.now);
    if (m_options.placement.moves)
    {
        m_moves.update(times, waiting, workers, make_tail_hook(), policy);
        policy.kept = m_moves.kept();
    }
    policy.is_effect_known =
        [this, &times](core::worker_id const& worker, std::string const& image)
    { return m_colocation.is_effect_known(times.now, worker, image); };
    policy.on_unplaced = [this](pending_stage const& stage,
                                std::size_t tasks,
                                placement_obstacle why)
    { m_trace.add(stage, tasks, why); };
    command.placements =
        plan_stages(waiting, workers, max_placements, make_tail_hook(), policy);
    m_placement_due = command.placements.size() == max_placements;
}

void dispatcher::place_copies(std::vector<copy_candidates> const& wanted,
                              std::vector<candidate_worker*> const& workers,
                              core::workflow_progress& command)
{
    auto const left = max_placements - command.placements.size();
    for (auto& decision :
         copy_planner::place(wanted, workers, left, make_tail_hook()))
    {
        m_on_event(copy_decided_event(decision));
        command.placements.push_back(std::move(decision.placement));
    }
}

} // namespace turmericswitch::workflow
