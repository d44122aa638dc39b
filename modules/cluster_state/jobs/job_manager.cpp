#include "cluster_state/jobs/job_manager.hpp"

#include <algorithm>

namespace turmericswitch::cluster_state
{

namespace
{

using core::job_state;
using core::result_code;
using core::task_event;

core::command_reply reply_with(result_code code, std::string text = {})
{
    core::command_reply reply;
    reply.code = code;
    reply.text = std::move(text);
    return reply;
}

bool is_negative(core::resources const& amount)
{
    return !core::fits_in({}, amount);
}

bool is_valid(core::job_description const& job)
{
    return !job.name.empty() && job.name.size() <= max_job_name_bytes &&
           job.payload.size() <= max_payload_bytes &&
           !job.team.value().empty() && !job.kind.value().empty() &&
           job.team.value().size() <= max_job_name_bytes &&
           job.kind.value().size() <= max_job_name_bytes &&
           !is_negative(job.declared) &&
           job.expected_run_time >= core::duration::zero();
}

std::string truncated(std::string const& text)
{
    return text.substr(0, max_reason_bytes);
}

/// @return True if the worker has the resources for the task and no rule
/// forbids the placement.
bool can_place(worker_state const& worker,
               core::task_kind const& kind,
               core::resources const& reserved,
               configuration_state const& config)
{
    auto const& description = worker.record.description;
    if (worker.record.retired ||
        !config.is_in_service(description.place.zone) ||
        !core::fits_in(worker.committed + reserved, description.capacity))
    {
        return false;
    }
    auto const limit = config.kind_limit(kind);
    auto const known = worker.kind_counts.find(kind);
    auto const count = known == worker.kind_counts.end() ? 0U : known->second;
    if (limit && count >= *limit)
    {
        return false;
    }
    return std::none_of(worker.kind_counts.begin(),
                        worker.kind_counts.end(),
                        [&](auto const& each)
                        { return config.never_share(kind, each.first); });
}

} // namespace

core::command_reply job_manager::submit(core::submit_jobs const& command,
                                        core::time_point now)
{
    if (command.jobs.empty() || command.jobs.size() > max_jobs_per_submission)
    {
        return reply_with(result_code::job_invalid,
                          "expected 1 to " +
                              std::to_string(max_jobs_per_submission) +
                              " jobs");
    }
    for (auto const& job : command.jobs)
    {
        if (!is_valid(job))
        {
            return reply_with(result_code::job_invalid,
                              "job '" + truncated(job.name) +
                                  "' is malformed; no job was accepted");
        }
    }
    if (m_jobs.live_count() + command.jobs.size() > max_live_jobs)
    {
        return reply_with(result_code::quota_exceeded,
                          "the job table is full; no job was accepted");
    }
    core::command_reply reply;
    for (auto const& job : command.jobs)
    {
        reply.jobs.push_back(m_jobs.add(job, now));
    }
    return reply;
}

core::command_reply job_manager::cancel(core::cancel_jobs const& command,
                                        core::time_point now)
{
    std::size_t cancelled = 0;
    std::size_t ended = 0;
    std::size_t unknown = 0;
    for (auto const id : command.jobs)
    {
        auto* const job = m_jobs.find(id);
        if (job == nullptr)
        {
            ++unknown;
        }
        else if (core::is_final(job->state))
        {
            ++ended;
        }
        else
        {
            job->code = result_code::job_cancelled;
            m_jobs.set_state(*job, job_state::cancelled, now);
            m_jobs.make_prunable(*job);
            ++cancelled;
        }
    }
    bool const none_known = unknown > 0 && unknown == command.jobs.size();
    return reply_with(none_known ? result_code::job_unknown : result_code::ok,
                      "cancelled " + std::to_string(cancelled) +
                          ", already ended " + std::to_string(ended) +
                          ", unknown " + std::to_string(unknown));
}

core::command_reply
job_manager::register_worker(core::worker_description const& worker)
{
    if (worker.worker.value().empty() || is_negative(worker.capacity))
    {
        return reply_with(result_code::request_malformed,
                          "expected a worker id and a capacity");
    }
    auto const* const known = m_workers.find(worker.worker);
    if (known != nullptr && worker.life < known->record.description.life)
    {
        return reply_with(result_code::wrong_incarnation,
                          "a later life of the worker is registered");
    }
    m_workers.upsert(worker);
    return {};
}

core::command_reply job_manager::report(core::worker_reports const& command,
                                        core::time_point now)
{
    auto* const worker = m_workers.find(command.worker);
    if (worker == nullptr)
    {
        m_counters.stale_reports += command.reports.size();
        return reply_with(result_code::worker_unknown);
    }
    auto& record = worker->record;
    if (record.description.life != command.life ||
        command.report_sequence <= record.acknowledged_reports)
    {
        m_counters.stale_reports += command.reports.size();
        return reply_with(record.description.life != command.life
                              ? result_code::wrong_incarnation
                              : result_code::ok);
    }
    // Set first, because releasing the last task of a retired worker removes
    // the worker and its record.
    record.acknowledged_reports = command.report_sequence;
    for (auto const& each : command.reports)
    {
        auto* const job = m_jobs.find(each.job);
        if (job == nullptr || !job->hold || job->attempt != each.attempt ||
            job->hold->worker != command.worker)
        {
            ++m_counters.stale_reports;
            continue;
        }
        apply_report(*job, each, now);
    }
    return {};
}

void job_manager::apply_report(core::job_record& job,
                               core::task_report const& report,
                               core::time_point now)
{
    bool const ended = core::is_final(job.state);
    if (report.checkpoint && !ended)
    {
        job.checkpoint = report.checkpoint;
        job.times.checkpointed = now;
    }
    switch (report.event)
    {
    case task_event::started:
        if (job.state == job_state::starting)
        {
            m_jobs.set_state(job, job_state::running, now);
            job.times.started = now;
            ++job.runs;
        }
        return;
    case task_event::checkpointed:
        return;
    case task_event::finished:
        end_attempt(job, job_state::finished, now);
        return;
    case task_event::failed:
        if (!ended)
        {
            ++job.failures;
            job.code = report.code;
            job.reason = truncated(report.detail);
        }
        requeue(job, now);
        return;
    case task_event::stopped:
    case task_event::refused:
        requeue(job, now);
        return;
    }
}

void job_manager::release(core::job_record& job)
{
    m_workers.remove_hold(job);
    job.hold.reset();
    if (m_observer)
    {
        m_observer({job.job, job.attempt}, false);
    }
}

void job_manager::end_attempt(core::job_record& job,
                              job_state next,
                              core::time_point now)
{
    release(job);
    if (!core::is_final(job.state))
    {
        m_jobs.set_state(job, next, now);
    }
    m_jobs.make_prunable(job);
}

void job_manager::requeue(core::job_record& job, core::time_point now)
{
    bool const has_run = job.runs > 0;
    end_attempt(job, has_run ? job_state::suspended : job_state::queued, now);
}

core::command_reply job_manager::expire(core::expire_leases const& command,
                                        core::time_point now)
{
    for (auto const& [id, attempt] : command.tasks)
    {
        auto* const job = m_jobs.find(id);
        if (job == nullptr || !job->hold || job->attempt != attempt)
        {
            ++m_counters.stale_expiries;
            continue;
        }
        requeue(*job, now);
    }
    return {};
}

core::command_reply job_manager::retire(core::worker_id const& worker)
{
    if (m_workers.find(worker) == nullptr)
    {
        return reply_with(result_code::worker_unknown);
    }
    m_workers.retire(worker);
    return {};
}

core::command_reply job_manager::place(core::placement_batch const& command,
                                       configuration_state const& config,
                                       core::time_point now)
{
    for (auto const& order : command.evictions)
    {
        apply_eviction(order, now);
    }
    for (auto const& order : command.stops)
    {
        apply_stop(order, now);
    }
    std::size_t dropped = 0;
    for (auto const& order : command.placements)
    {
        dropped += apply_placement(order, config, now) ? 0 : 1;
    }
    m_counters.dropped_placements += dropped;
    return reply_with(result_code::ok,
                      "dropped " + std::to_string(dropped) + " placements");
}

bool job_manager::apply_placement(core::place_task const& order,
                                  configuration_state const& config,
                                  core::time_point now)
{
    auto* const job = m_jobs.find(order.job);
    auto const* const worker = m_workers.find(order.worker);
    if (job == nullptr || worker == nullptr || is_negative(order.reserved))
    {
        return false;
    }
    bool const is_waiting =
        job->state == job_state::queued || job->state == job_state::suspended;
    if (!is_waiting || order.attempt.value() != job->attempt.value() + 1 ||
        !can_place(*worker, job->description.kind, order.reserved, config))
    {
        return false;
    }
    job->attempt = order.attempt;
    job->hold = core::task_hold{
        order.worker, worker->record.description.life, order.reserved};
    job->last_worker = order.worker;
    job->times.placed = now;
    m_jobs.set_state(*job, job_state::starting, now);
    m_workers.add_hold(*job);
    if (m_observer)
    {
        m_observer({job->job, job->attempt}, true);
    }
    return true;
}

void job_manager::apply_eviction(core::evict_task const& order,
                                 core::time_point now)
{
    auto* const job = m_jobs.find(order.job);
    bool const is_active =
        job != nullptr && job->attempt == order.attempt &&
        (job->state == job_state::starting || job->state == job_state::running);
    if (!is_active)
    {
        ++m_counters.dropped_evictions;
        return;
    }
    job->reason = truncated(order.reason);
    m_jobs.set_state(*job, job_state::evicting, now);
}

void job_manager::apply_stop(core::stop_job const& order, core::time_point now)
{
    auto* const job = m_jobs.find(order.job);
    if (job == nullptr || core::is_final(job->state))
    {
        return;
    }
    job->code = order.code;
    job->reason = truncated(order.reason);
    m_jobs.set_state(*job, job_state::failed, now);
    m_jobs.make_prunable(*job);
}

void job_manager::prune(core::time_point now, std::size_t limit)
{
    m_jobs.prune(now, limit);
}

job_table const& job_manager::jobs() const noexcept
{
    return m_jobs;
}

worker_table const& job_manager::workers() const noexcept
{
    return m_workers;
}

core::state_counters& job_manager::counters() noexcept
{
    return m_counters;
}

core::state_counters const& job_manager::counters() const noexcept
{
    return m_counters;
}

void job_manager::observe(hold_observer observer)
{
    m_observer = std::move(observer);
}

void job_manager::take_observer(job_manager& replaced)
{
    m_observer = std::move(replaced.m_observer);
}

void job_manager::restore(core::state_snapshot snapshot)
{
    m_counters = snapshot.counters;
    m_jobs.restore_last_id(snapshot.last_job);
    for (auto& worker : snapshot.workers)
    {
        m_workers.restore(std::move(worker));
    }
}

bool job_manager::restore_jobs(std::vector<core::job_record> jobs)
{
    for (auto& job : jobs)
    {
        if (job.hold)
        {
            if (m_workers.find(job.hold->worker) == nullptr)
            {
                return false;
            }
            m_workers.add_hold(job);
        }
        m_jobs.restore(std::move(job));
    }
    return true;
}

} // namespace turmericswitch::cluster_state
