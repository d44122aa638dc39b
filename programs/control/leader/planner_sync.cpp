#include "leader/planner_sync.hpp"

#include "core/hooks/overloaded.hpp"

#include <utility>

namespace turmericswitch::control
{

namespace
{

using core::job_state;

/// A worker without a heartbeat for this long gets no new tasks. Equals seven
/// missed heartbeats at the default interval.
constexpr core::duration lost_after = std::chrono::seconds(3);
/// A lost worker without tasks is retired after this time. If it returns
/// earlier, its registration and report sequence are still known.
constexpr core::duration retire_after = std::chrono::minutes(10);

placement::queued_job make_queued_job(core::job_record const& job)
{
    auto const& description = job.description;
    return {job.job,
            core::attempt_number(job.attempt.value() + 1),
            description.team,
            description.kind,
            description.priority,
            description.declared,
            description.expected_run_time,
            description.deadline};
}

placement::terminal_state ending_of(core::job_record const* job)
{
    if (job == nullptr || job->state == job_state::failed)
    {
        return placement::terminal_state::stopped;
    }
    return job->state == job_state::finished
               ? placement::terminal_state::finished
               : placement::terminal_state::cancelled;
}

} // namespace

planner_sync::planner_sync(cluster_state::state_machine const& state,
                           placement::planner_options options,
                           core::time_point now)
    : m_state(state), m_planner(std::move(options))
{
    load(now);
}

void planner_sync::load(core::time_point now)
{
    sync_configuration(now);
    for (auto const& [id, worker] : m_state.workers().all())
    {
        // Includes retired workers: the tasks that they still hold occupy
        // capacity when the worker registers again.
        m_planner.worker_changed(now, worker.record.description);
    }
    for (auto const& [id, job] : m_state.jobs().all())
    {
        load_job(now, job);
    }
    for (auto const& [id, worker] : m_state.workers().all())
    {
        sync_worker(now, id);
    }
}

void planner_sync::load_job(core::time_point now, core::job_record const& job)
{
    if (job.hold)
    {
        bool const is_stopping =
            job.state == job_state::evicting || core::is_final(job.state);
        m_planner.task_restored(now,
                                {make_queued_job(job),
                                 job.attempt,
                                 job.hold->worker,
                                 job.hold->reserved,
                                 is_stopping});
        update_known(job);
    }
    else if (!core::is_final(job.state))
    {
        m_planner.job_queued(now, make_queued_job(job));
        update_known(job);
    }
}

void planner_sync::update_known(core::job_record const& job)
{
    m_jobs[job.job] = {job.state,
                       job.attempt,
                       job.hold.has_value(),
                       job.times.checkpointed,
                       job.failures};
}

void planner_sync::applied(core::time_point now,
                           core::command_body const& command,
                           core::command_reply const& reply)
{
    auto const sync_all = [&](auto const& items)
    {
        for (auto const& item : items)
        {
            sync_job(now, item.job);
        }
    };
    std::visit(
        core::overloaded{
            [&](core::submit_jobs const&)
            {
                for (auto const id : reply.jobs)
                {
                    sync_job(now, id);
                }
            },
            [&](core::cancel_jobs const& each)
            {
                for (auto const id : each.jobs)
                {
                    sync_job(now, id);
                }
            },
            [&](core::worker_reports const& each) { sync_all(each.reports); },
            [&](core::expire_leases const& each) { sync_all(each.tasks); },
            [&](core::register_worker const& each)
            { sync_worker(now, each.worker.worker); },
            [&](core::retire_worker const& each)
            { sync_worker(now, each.worker); },
            [&](core::placement_batch const& each) { sync_batch(now, each); },
            [](auto const&) {}},
        command);
    if (m_state.config().current() != m_revision)
    {
        sync_configuration(now);
    }
}

void planner_sync::sync_configuration(core::time_point now)
{
    m_revision = m_state.config().current();
    m_planner.configuration_changed(now, m_state.config().in_force());
    for (auto const& [id, worker] : m_state.workers().all())
    {
        sync_zone_of(now, worker.record.description);
    }
}

void planner_sync::sync_zone_of(core::time_point now,
                                core::worker_description const& worker)
{
    // The configuration lists zones by their canonical names. The worker may
    // name its zone by an alias, or the zone may not be listed at all; for an
    // unlisted zone the state machine drops every placement.
    auto const& zone = worker.place.zone;
    m_planner.zone_changed(now,
                           zone,
                           m_state.config().is_in_service(zone)
                               ? core::zone_state::in_service
                               : core::zone_state::out_of_service);
}

void planner_sync::sync_job(core::time_point now, core::job_id id)
{
    auto const* const job = m_state.jobs().find(id);
    auto const found = m_jobs.find(id);
    auto const* const known = found == m_jobs.end() ? nullptr : &found->second;
    if (job == nullptr || (core::is_final(job->state) && !job->hold))
    {
        if (known != nullptr)
        {
            end_job(now, id);
        }
        return;
    }
    if (!job->hold)
    {
        sync_waiting(now, *job, known);
    }
    else if (known != nullptr)
    {
        sync_held(now, *job, *known);
    }
    update_known(*job);
}

void planner_sync::sync_waiting(core::time_point now,
                                core::job_record const& job,
                                known_job const* known)
{
    bool const is_new = known == nullptr;
    if (!is_new && !known->has_hold && known->attempt == job.attempt)
    {
        return;
    }
    if (!is_new && job.failures > known->failures)
    {
        m_planner.attempt_failed(now, job.job, job.attempt);
    }
    m_planner.job_queued(now, make_queued_job(job));
}

void planner_sync::sync_held(core::time_point now,
                             core::job_record const& job,
                             known_job const& known)
{
    bool const is_stopping =
        job.state == job_state::evicting || core::is_final(job.state);
    if (job.state == job_state::running && known.state != job_state::running)
    {
        m_planner.job_started(now, job.job, job.attempt);
    }
    if (job.times.checkpointed != known.checkpointed)
    {
        m_planner.job_checkpointed(now, job.job, job.attempt);
    }
    if (is_stopping && known.state != job.state)
    {
        m_planner.job_evicting(now, job.job, job.attempt);
    }
}

void planner_sync::end_job(core::time_point now, core::job_id id)
{
    auto const* const job = m_state.jobs().find(id);
    m_planner.job_ended(now, id, ending_of(job));
    m_jobs.erase(id);
}

void planner_sync::sync_worker(core::time_point now,
                               core::worker_id const& worker)
{
    auto const* const known = m_state.workers().find(worker);
    if (known == nullptr || known->record.retired)
    {
        m_planner.worker_retired(now, worker);
        m_workers.erase(worker);
        return;
    }
    sync_zone_of(now, known->record.description);
    m_planner.worker_changed(now, known->record.description);
    m_workers[worker] = {now, false};
}

void planner_sync::sync_batch(core::time_point now,
                              core::placement_batch const& batch)
{
    m_batch_pending = false;
    for (auto const& order : batch.placements)
    {
        auto const* const job = m_state.jobs().find(order.job);
        bool const is_placed =
            job != nullptr && job->hold && job->attempt == order.attempt;
        if (!is_placed)
        {
            m_planner.placement_dropped(now, order.job, order.attempt);
        }
        sync_job(now, order.job);
    }
    for (auto const& order : batch.evictions)
    {
        auto const* const job = m_state.jobs().find(order.job);
        bool const is_stopping =
            job != nullptr && job->attempt == order.attempt &&
            (job->state == job_state::evicting || core::is_final(job->state));
        if (!is_stopping)
        {
            m_planner.eviction_dropped(order.job, order.attempt);
        }
        sync_job(now, order.job);
    }
    for (auto const& order : batch.stops)
    {
        sync_job(now, order.job);
    }
}

void planner_sync::batch_rejected(core::time_point now,
                                  core::placement_batch const& batch)
{
    m_batch_pending = false;
    for (auto const& order : batch.placements)
    {
        m_planner.placement_dropped(now, order.job, order.attempt);
    }
    for (auto const& order : batch.evictions)
    {
        m_planner.eviction_dropped(order.job, order.attempt);
    }
    for (auto const& order : batch.stops)
    {
        m_planner.stop_dropped(order.job);
    }
}

void planner_sync::heartbeat_received(
    core::time_point now,
    core::worker_id const& worker,
    std::vector<core::usage_sample> const& usage)
{
    auto const found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return;
    }
    found->second.last_heartbeat = now;
    if (found->second.is_lost)
    {
        sync_worker(now, worker);
    }
    for (auto const& sample : usage)
    {
        m_planner.usage_reported(now, worker, sample);
    }
}

void planner_sync::mark_lost_workers(core::time_point now)
{
    for (auto& [id, worker] : m_workers)
    {
        if (!worker.is_lost && now - worker.last_heartbeat > lost_after)
        {
            worker.is_lost = true;
            m_planner.worker_lost(now, id);
        }
    }
}

std::vector<core::worker_id>
planner_sync::workers_to_retire(core::time_point now) const
{
    std::vector<core::worker_id> found;
    for (auto const& [id, worker] : m_workers)
    {
        auto const* const known = m_state.workers().find(id);
        if (worker.is_lost && now - worker.last_heartbeat > retire_after &&
            known != nullptr && known->held.empty())
        {
            found.push_back(id);
        }
    }
    return found;
}

placement::tick_decisions planner_sync::tick(core::time_point now,
                                             core::wall_time wall)
{
    mark_lost_workers(now);
    auto decisions = m_planner.tick(now, wall);
    auto const& batch = decisions.batch;
    m_batch_pending = !batch.placements.empty() || !batch.evictions.empty() ||
                      !batch.stops.empty();
    return decisions;
}

bool planner_sync::has_pending_batch() const noexcept
{
    return m_batch_pending;
}

placement::planner_counts planner_sync::counts() const
{
    return m_planner.counts();
}

core::resources planner_sync::reserved_on(core::worker_id const& worker) const
{
    return m_planner.reserved_on(worker);
}

} // namespace turmericswitch::control
