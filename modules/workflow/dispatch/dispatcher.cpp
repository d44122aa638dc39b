#include "workflow/dispatch/dispatcher.hpp"

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

constexpr std::uint32_t full_pace = 100;

/// A best-effort task that uses less of its request is short of CPU.
constexpr std::int64_t min_full_use_percent = 90;

/// Time for which a new leader refuses nothing, because it does not know all
/// workers: a healthy one reports once a second.
constexpr core::duration learning_time = std::chrono::seconds(5);

bool is_end_with_worker(core::run_end how)
{
    return how == core::run_end::lost || how == core::run_end::crashed ||
           how == core::run_end::suspected;
}

} // namespace

dispatcher::dispatcher(workflow_table const& table,
                       dispatch_options options,
                       std::uint64_t fencing_token,
                       core::time_point elected,
                       core::event_hook on_event)
    : m_table(table),
      m_options(options),
      m_fencing_token(fencing_token),
      m_elected(elected),
      m_admission(core::seeded_random(fencing_token)),
      m_fleet(options.leases, table.longest_lease(), elected),
      m_colocation(options.harm_limit),
      m_accounts(table, m_run_times, options.overload),
      m_backlog(table, m_run_times, m_fleet),
      m_candidates(table, m_fleet, m_colocation),
      m_moves(table, m_fleet, m_backlog, elected),
      m_ends(table, m_fleet),
      m_copies(
          options.copies, table, m_fleet, options.report_interval, elected),
      m_orders(table),
      m_preemption(table, m_fleet, m_accounts, preemption_hooks()),
      m_on_event(std::move(on_event))
{
    rank_by_accounts();
}

void dispatcher::rank_by_accounts()
{
    if (m_options.overload.order)
    {
        m_backlog.order_by([this](core::workflow_id const& job)
                           { return m_accounts.rank(job); });
    }
    if (m_options.overload.pace)
    {
        m_colocation.share_by(
            [this](core::task_run const& run) -> std::optional<std::uint64_t>
            {
                auto const* const rank = m_accounts.rank(run.task.workflow);
                return rank == nullptr ? std::nullopt
                                       : std::optional(rank->position);
            });
    }
}

bool dispatcher::needs_accounts() const noexcept
{
    auto const& options = m_options.overload;
    return options.order || options.pace || options.preemption ||
           options.admission;
}

std::optional<overload::admission_decision>
dispatcher::refusal(plan_times const& times,
                    core::workflow_record const& workflow)
{
    if (!m_options.overload.admission || times.now - m_elected < learning_time)
    {
        return std::nullopt;
    }
    update_accounts(times);
    auto const account = m_accounts.account_of_new(workflow);
    if (!account)
    {
        return std::nullopt;
    }
    auto const decision =
        m_admission.decide(*account,
                           {m_accounts.accounts(), m_accounts.capacities()},
                           times.cluster,
                           m_options.overload.value);
    if (decision.is_accepted)
    {
        return std::nullopt;
    }
    if (!decision.is_repeated)
    {
        m_on_event(job_refused_event(times.cluster, *account, decision));
    }
    return decision;
}

void dispatcher::update_accounts(plan_times const& times)
{
    if (needs_accounts())
    {
        m_accounts.update(
            times.now,
            times.cluster,
            [this] { return measure_supply(m_table, m_fleet, m_colocation); });
        for (auto const& account : m_accounts.take_worsened())
        {
            m_on_event(job_prospect_event(
                times.cluster, account, *m_accounts.rank(account.job)));
        }
    }
}

bool dispatcher::report(core::time_point now, core::runtime_report report)
{
    auto const* const known = m_fleet.find(report.profile.worker);
    bool const is_new_incarnation =
        known != nullptr && known->profile.life < report.profile.life;
    bool const is_new_sidecar =
        known != nullptr && known->sidecar != report.sidecar;
    bool const was_usable = known != nullptr && known->has_runs &&
                            !known->is_silent && !known->profile.draining &&
                            is_reporting(now, *known);
    bool const is_other_profile =
        known == nullptr || known->profile != report.profile;
    auto const worker = report.profile.worker;
    auto* const view = m_fleet.report(now, std::move(report));
    if (view == nullptr)
    {
        return false;
    }
    bool const is_new = known == nullptr || is_new_incarnation;
    if (is_new || is_new_sidecar)
    {
        m_on_event(worker_seen_event(*view));
    }
    m_ends.reported(worker, is_new || view->left || !view->crashes.empty());
    m_orders.mark_changed(worker);
    m_placement_due = m_placement_due || !was_usable;
    if (is_new_incarnation)
    {
        m_health.forget(worker);
        m_colocation.forget(worker);
        m_speeds.forget(worker);
    }
    if (is_new_incarnation || is_new_sidecar)
    {
        m_orders.forget(worker);
    }
    bool const is_sample_due = m_colocation.is_sample_due(now, worker);
    if (is_sample_due)
    {
        update_colocation(now, *view);
    }
    if (is_sample_due || is_other_profile || view->has_newly_established)
    {
        m_candidates.mark_changed(worker);
    }
    return true;
}

void dispatcher::update_colocation(core::time_point now,
                                   worker_view const& view)
{
    auto const& worker = view.profile.worker;
    colocation_sample sample;
    sample.capacity = view.profile.capacity.cpu;
    for (auto const& [run, task] : view.running)
    {
        auto const* const stage = m_table.find_stage(run.task);
        if (stage == nullptr)
        {
            continue;
        }
        auto const& behaviour = stage->behaviour;
        auto const target =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                behaviour.target_latency)
                .count();
        if (target > 0)
        {
            sample.serving.push_back(
                {run,
                 behaviour.image,
                 static_cast<double>(task.load) / static_cast<double>(target)});
        }
        else if (behaviour.uses_spare_cpu)
        {
            sample.best_effort.push_back({run,
                                          behaviour.image,
                                          stage->need.cpu,
                                          core::millicores(task.load)});
        }
    }
    observe_speeds(worker, sample);
    for (auto const& [pace, before] : m_colocation.update(now, worker, sample))
    {
        if (pace.percent < full_pace)
        {
            m_speeds.observe_slowed(pace.run);
        }
        m_on_event(pace_event(worker, pace, before, sample));
    }
}

void dispatcher::observe_speeds(core::worker_id const& worker,
                                colocation_sample const& sample)
{
    for (auto const& task : sample.best_effort)
    {
        if (m_placed_at.contains(task.run))
        {
            bool const has_cpu = task.used.value() * 100 >=
                                 task.need.value() * min_full_use_percent;
            m_speeds.observe_best_effort(
                task.run,
                has_cpu && m_colocation.pace(worker, task.run) == full_pace);
        }
    }
}

bool dispatcher::has_uncommitted_ends(core::worker_id const& worker) const
{
    auto const* const view = m_fleet.find(worker);
    return view != nullptr && m_ends.has_uncommitted_ends(*view);
}

core::runtime_grant dispatcher::grant(core::worker_id const& worker,
                                      core::incarnation life)
{
    core::runtime_grant answer;
    answer.fencing_token = m_fencing_token;
    auto* const view = m_fleet.find(worker);
    if (view == nullptr || view->profile.life != life || view->left)
    {
        return answer;
    }
    bool const is_first = view->granted_until == core::duration{};
    m_placement_due = m_placement_due || is_first;
    if (!view->is_silent)
    {
        m_fleet.extend_lease(*view, m_table.longest_lease());
    }
    answer.lease_until = view->granted_until;
    for (auto const& each : view->ended)
    {
        if (m_table.is_held(each.run, worker, life))
        {
            break;
        }
        answer.acknowledged_ends = each.number;
    }
    for (auto const& run : view->refused)
    {
        if (!m_table.is_held(run, worker, life))
        {
            answer.acknowledged_refusals.push_back(run);
        }
    }
    for (auto const& each : view->crashes)
    {
        if (m_table.is_settled(each))
        {
            answer.acknowledged_crashes.push_back(each);
        }
    }
    return answer;
}

bool dispatcher::is_reporting(core::time_point now,
                              worker_view const& view) const
{
    return now - view.reported_at <
           m_options.report_interval * max_missed_reports;
}

bool dispatcher::is_eligible(core::time_point now,
                             worker_view const& view,
                             core::configuration const& config) const
{
    bool const is_leased = view.granted_until - view.clock >
                           (now - view.clock_changed_at) + min_lease_left;
    bool const is_evacuated =
        std::find(config.evacuated.begin(),
                  config.evacuated.end(),
                  view.profile.zone) != config.evacuated.end();
    return view.has_runs && !view.left && !view.is_silent &&
           !view.profile.draining && is_reporting(now, view) && is_leased &&
           !is_evacuated &&
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
    auto const expected = m_run_times.expected(
        workflow->queue.queue, workflow->description.stages[number]);
    if (record == nullptr || expected <= core::duration{})
    {
        return result;
    }
    for (std::uint32_t i = 0; i < record->tasks.size(); ++i)
    {
        auto const& task = record->tasks[i];
        auto const known =
            m_placed_at.find({{id, occurrence, number, i}, task.attempt});
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
    auto const waiting = m_backlog.collect(times);
    // Skips the candidates when there is nothing to place or evict.
    auto const to_copy = m_copies.collect(times.now);
    if (waiting.empty() && to_copy.empty() && times.now < m_next_eviction)
    {
        return;
    }
    auto const workers = candidates(times.now, config);
    m_wide.observe(times.now, waiting, workers);
    auto policy = make_policy(times.now);
    if (m_options.placement.moves)
    {
        m_moves.update(times, waiting, workers, make_tail_hook(), policy);
        policy.kept = m_moves.kept();
    }
    command.placements =
        plan_stages(waiting, workers, max_placements, make_tail_hook(), policy);
    m_placement_due = command.placements.size() == max_placements;
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

std::optional<core::workflow_progress>
dispatcher::plan(plan_times const& times, core::configuration const& config)
{
    core::workflow_progress command;
    command.longest_lease =
        m_fleet.length_to_record(times.now, m_table.longest_lease());
    if (command.longest_lease > core::duration{})
    {
        // Alone: members of an earlier release skip an entry with this member.
        return command;
    }
    m_ends.collect(times.now, command);
    if (take_placement_due(times, config))
    {
        place_tasks(times, config, command);
    }
    if (command == core::workflow_progress{})
    {
        return std::nullopt;
    }
    return command;
}

void dispatcher::applied(core::time_point now,
                         core::workflow_progress const& command)
{
    emit_lost_workers(now, command);
    for (auto const& outcome : command.ends)
    {
        record_end(now, outcome);
        record_run_time(now, outcome);
        m_copies.ended(now, outcome);
        m_speeds.ended(outcome.run);
        m_orders.ended(outcome.run);
    }
    for (auto const& outcome : command.resolved)
    {
        m_on_event(suspicion_resolved_event(outcome));
    }
    for (auto const& placement : command.placements)
    {
        emit_run_placed(now, placement);
        m_health.record_trial(now, placement.worker);
        m_placed_at.emplace(placement.run, now);
    }
    m_ends.applied(now, command);
}

void dispatcher::rejected(core::workflow_progress const& command)
{
    m_ends.rejected(command);
    m_placement_due = true;
}

void dispatcher::record_end(core::time_point now,
                            core::run_outcome const& outcome)
{
    auto const placed = m_placed_at.find(outcome.run);
    std::optional<bool> established;
    if (is_end_with_worker(outcome.how))
    {
        established =
            m_fleet.is_established(outcome.worker, outcome.life, outcome.run);
    }
    m_on_event(run_ended_event(outcome,
                               placed == m_placed_at.end()
                                   ? std::nullopt
                                   : std::optional(now - placed->second),
                               established));
    if (m_orders.evicting().contains(outcome.run))
    {
        // The leader asked for this end; it says nothing about the worker.
        return;
    }
    bool const was_usable = !m_health.is_quarantined(now, outcome.worker);
    m_health.record_end(now, outcome.worker, outcome.run, outcome.how);
    if (was_usable && m_health.is_quarantined(now, outcome.worker))
    {
        m_on_event(worker_set_aside_event(outcome));
    }
}

void dispatcher::emit_run_placed(core::time_point now,
                                 core::run_placement const& placed)
{
    auto const since = m_backlog.waiting_since(stage_of(placed.run.task));
    m_on_event(
        run_placed_event(now,
                         placed,
                         m_table.find(placed.run.task.workflow),
                         since ? std::optional(now - *since) : std::nullopt,
                         m_fleet.find(placed.worker)));
}

void dispatcher::emit_lost_workers(core::time_point now,
                                   core::workflow_progress const& command) const
{
    std::map<core::worker_id, lost_runs> lost;
    for (auto const& [run, worker, life, how, checkpoint] : command.ends)
    {
        if (is_end_with_worker(how))
        {
            auto& runs = lost[worker];
            ++runs.all;
            runs.not_established +=
                m_fleet.is_established(worker, life, run) ? 0 : 1;
            runs.has_crashed =
                runs.has_crashed ||
                m_fleet.how_ended(worker, life) == incarnation_end::crashed;
        }
    }
    for (auto const& [worker, runs] : lost)
    {
        m_on_event(worker_lost_event(now, worker, runs, m_fleet.find(worker)));
    }
}

dispatch_counts dispatcher::counts(core::time_point now,
                                   core::configuration const& config)
{
    dispatch_counts result;
    result.workers = m_fleet.all().size();
    result.waiting_tasks = m_backlog.waiting_tasks();
    result.longest_wait = m_backlog.longest_wait(now);
    result.oversized_stages = m_oversized.count();
    for (auto const* const worker : candidates(now, config))
    {
        if (worker->is_trial)
        {
            continue;
        }
        ++result.usable_workers;
        result.spare += worker->spare;
        result.free.add(*worker, m_wide);
    }
    for (auto const& [worker, runs] : m_table.holds())
    {
        result.held_runs += runs.size();
    }
    for (auto const& [worker, view] : m_fleet.all())
    {
        for (auto const& [run, task] : view.running)
        {
            auto const* const stage = m_table.find_stage(run.task);
            if (stage != nullptr && stage->behaviour.uses_spare_cpu)
            {
                result.spare_wanted += stage->need.cpu;
                result.spare_used += core::millicores(task.load);
            }
        }
    }
    return result;
}

void dispatcher::record_run_time(core::time_point now,
                                 core::run_outcome const& outcome)
{
    auto const placed = m_placed_at.extract(outcome.run);
    auto const* const workflow = m_table.find(outcome.run.task.workflow);
    if (placed.empty() || workflow == nullptr ||
        outcome.how != core::run_end::done)
    {
        return;
    }
    // The table has dropped the stages of an ended workflow but keeps its
    // queue.
    auto const* const stage = m_table.find_stage(outcome.run.task);
    m_run_times.record_run(workflow->queue.queue,
                           stage == nullptr ? std::string()
                                            : stage->behaviour.image,
                           now - placed.mapped());
    if (stage != nullptr)
    {
        m_speeds.record_run(now, outcome, *stage, now - placed.mapped());
    }
}

void dispatcher::acknowledge_orders(core::worker_id const& worker,
                                    std::uint64_t batch)
{
    if (auto const sent = m_batches.find(worker);
        sent != m_batches.end() && sent->second != batch)
    {
        m_orders.forget(worker);
    }
}

std::set<core::worker_id> dispatcher::workers_with_orders(core::time_point now)
{
    return m_orders.due_workers(now);
}

core::runtime_orders dispatcher::take_orders(core::time_point now,
                                             core::worker_id const& worker,
                                             core::incarnation life)
{
    auto const* const view = m_fleet.find(worker);
    core::runtime_orders orders;
    if (view != nullptr && view->profile.life == life)
    {
        orders = m_orders.take_due(
            now,
            *view,
            [this, &worker](core::task_run const& run)
            { return m_colocation.pace_to_order(worker, run); });
        for (auto const& run : m_orders.take_withdrawn())
        {
            m_on_event(start_withdrawn_event(worker, run));
        }
    }
    orders.fencing_token = m_fencing_token;
    if (!orders.starts.empty() || !orders.stops.empty() ||
        !orders.paces.empty())
    {
        orders.batch = ++m_batches[worker];
    }
    return orders;
}

worker_fleet const& dispatcher::fleet() const noexcept
{
    return m_fleet;
}

std::uint64_t dispatcher::fencing_token() const noexcept
{
    return m_fencing_token;
}

} // namespace turmericswitch::workflow
