#include "workflow/dispatch/dispatcher.hpp"

#include "workflow/agent/fencing_token.hpp"
#include "workflow/dispatch/dispatch_events.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A best-effort task that uses less of its request is short of CPU.
constexpr std::int64_t min_full_use_percent = 90;

/// Time for which a new leader refuses nothing, because it does not know all
/// workers: a healthy one reports once a second.
constexpr core::duration learning_time = std::chrono::seconds(5);

} // namespace

dispatcher::dispatcher(workflow_table const& table,
                       dispatch_options options,
                       core::term term,
                       core::time_point elected,
                       core::event_hook on_event)
    : m_table(table),
      m_options(options),
      m_term(term),
      m_elected(elected),
      m_admission(core::seeded_random(term.value())),
      m_fleet(options.leases, table.longest_lease(), elected),
      m_colocation(options.harm_limit),
      m_accounts(table, m_run_times, options.overload),
      m_backlog(table, m_run_times, m_fleet),
      m_crash_backoff(table),
      m_late_starts(table, m_fleet, elected),
      m_start_affinity(table, m_fleet, m_late_starts),
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
    bool const had_runs =
        known != nullptr && !is_new_incarnation && known->has_runs;
    bool const was_usable = known != nullptr && known->has_runs &&
                            !known->is_silent && !known->profile.draining &&
                            is_reporting(now, *known);
    bool const is_other_profile =
        known == nullptr || known->profile != report.profile;
    bool const has_late_starts =
        !report.unresolved.runs.empty() ||
        (known != nullptr && !known->unresolved_starts.empty());
    auto const worker = report.profile.worker;
    auto const refused_under = report.refused_under;
    auto* const view = m_fleet.report(now, std::move(report));
    if (view == nullptr)
    {
        return false;
    }
    drop_outdated_refusals(*view, refused_under);
    evict_needless_runs(*view);
    m_late_starts.reported(*view);
    m_start_affinity.reported(*view);
    bool const is_new = known == nullptr || is_new_incarnation;
    if (is_new || is_new_sidecar)
    {
        m_on_event(worker_seen_event(*view));
    }
    // The first list tells which runs on earlier incarnations have ended.
    bool const is_first_list = view->has_runs && !had_runs;
    m_ends.reported(worker,
                    is_new || is_first_list || view->left ||
                        !view->crashes.empty());
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
    if (is_sample_due || is_other_profile || has_late_starts ||
        view->has_newly_established)
    {
        m_candidates.mark_changed(worker);
    }
    return true;
}

void dispatcher::drop_outdated_refusals(worker_view& view,
                                        std::uint64_t refused_under) const
{
    auto const current = fencing_token(m_term, view.number);
    // A sidecar of an earlier release names no token.
    if (refused_under == 0 || refused_under == current || view.refused.empty())
    {
        return;
    }
    m_on_event(refusals_outdated_event(view, refused_under, current));
    view.refused.clear();
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
    if (m_options.placement.speed)
    {
        observe_speeds(worker, sample);
    }
    for (auto const& [pace, before] : m_colocation.update(now, worker, sample))
    {
        if (m_options.placement.speed && pace.percent < full_pace)
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
    auto* const view = m_fleet.find(worker);
    if (view == nullptr || view->profile.life != life)
    {
        answer.fencing_token = fencing_token(m_term, 0);
        return answer;
    }
    answer.fencing_token = fencing_token(m_term, view->number);
    if (view->left)
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
    acknowledge_ends(*view, answer);
    for (auto const* const runs : {&view->refused, &view->ended_unseen})
    {
        std::copy_if(runs->begin(),
                     runs->end(),
                     std::back_inserter(answer.acknowledged_refusals),
                     [&](core::task_run const& run)
                     { return !m_table.held_incarnation(run, worker); });
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
    mark_unresolved(times.now, command.ends);
    m_orders.set_ending(command.ends);
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
        emit_isolated(outcome);
    }
    for (auto const& outcome : command.resolved)
    {
        m_on_event(suspicion_resolved_event(outcome));
        emit_isolated(outcome);
    }
    for (auto const& placement : command.placements)
    {
        emit_run_placed(now, placement);
        m_health.record_trial(now, placement.worker);
        m_placed_at.emplace(placement.run, now);
    }
    for (auto const& outcome : command.late_ends)
    {
        m_on_event(late_end_event(outcome));
    }
    m_late_starts.applied(now, command);
    m_ends.applied(now, command);
}

void dispatcher::rejected(core::workflow_progress const& command)
{
    m_ends.rejected(command);
    m_orders.set_ending({});
    for (auto const& outcome : command.ends)
    {
        m_orders.mark_changed(outcome.worker);
    }
    m_placement_due = true;
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

dispatch_counts dispatcher::counts(core::time_point now,
                                   core::configuration const& config)
{
    dispatch_counts result;
    result.workers = m_fleet.all().size();
    result.waiting_tasks = m_backlog.waiting_tasks();
    result.longest_wait =
        m_backlog.longest_wait(m_planned.cluster + (now - m_planned.now));
    result.held_back = m_trace.counts();
    result.longest = m_trace.longest();
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
                                             core::incarnation life,
                                             core::configuration const& config)
{
    auto const* const view = m_fleet.find(worker);
    core::runtime_orders orders;
    std::uint64_t incarnation = 0;
    if (view != nullptr && view->profile.life == life)
    {
        incarnation = view->number;
        orders = m_orders.take_due(
            now,
            *view,
            !view->profile.draining && !is_evacuated(*view, config),
            [this, view](core::task_run const& run)
            {
                return late_starts::may_call(
                    *view,
                    run,
                    first_call_after(
                        {run, view->profile.worker, view->profile.life}));
            },
            [this, &worker](core::task_run const& run)
            { return m_colocation.pace_to_order(worker, run); });
        for (auto const& run : m_orders.take_withdrawn())
        {
            m_on_event(start_withdrawn_event(worker, run));
        }
    }
    orders.fencing_token = fencing_token(m_term, incarnation);
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

core::term dispatcher::term() const noexcept
{
    return m_term;
}

} // namespace turmericswitch::workflow
