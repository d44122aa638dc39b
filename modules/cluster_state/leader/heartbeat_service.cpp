#include "cluster_state/leader/heartbeat_service.hpp"

namespace turmericswitch::cluster_state
{

namespace
{

using core::job_state;
using core::task_action;

/// @return True if the heartbeat comes from the registered incarnation of a
/// worker that is not retired.
bool is_current(core::heartbeat_request const& heartbeat,
                worker_state const* worker)
{
    return worker != nullptr && !worker->record.retired &&
           worker->record.description.life == heartbeat.worker.life;
}

} // namespace

heartbeat_service::heartbeat_service(lease_table& leases) : m_leases(leases) {}

std::vector<core::command_body>
heartbeat_service::prepare(core::heartbeat_request const& heartbeat,
                           state_machine const& state) const
{
    std::vector<core::command_body> commands;
    auto const* const worker = state.workers().find(heartbeat.worker.worker);
    auto const life = heartbeat.worker.life;
    if (worker != nullptr && life < worker->record.description.life)
    {
        return commands;
    }
    if (worker == nullptr || worker->record.retired ||
        worker->record.description != heartbeat.worker)
    {
        commands.emplace_back(core::register_worker{heartbeat.worker});
    }
    bool const is_new =
        !is_current(heartbeat, worker) ||
        heartbeat.report_sequence > worker->record.acknowledged_reports;
    if (is_new && !heartbeat.reports.empty())
    {
        commands.emplace_back(core::worker_reports{heartbeat.worker.worker,
                                                   life,
                                                   heartbeat.reports,
                                                   heartbeat.report_sequence});
    }
    return commands;
}

core::heartbeat_answer
heartbeat_service::answer(core::heartbeat_request const& heartbeat,
                          core::time_point now,
                          state_machine const& state)
{
    core::heartbeat_answer answer;
    answer.sent_at = heartbeat.sent_at;
    answer.next_heartbeat = m_leases.settings().heartbeat_interval;
    auto const* const worker = state.workers().find(heartbeat.worker.worker);
    if (!is_current(heartbeat, worker))
    {
        answer.code = worker == nullptr ? core::result_code::worker_unknown
                                        : core::result_code::wrong_incarnation;
        return answer;
    }
    answer.acknowledged_reports = worker->record.acknowledged_reports;
    std::set<core::job_id> listed;
    for (auto const& task : heartbeat.held)
    {
        listed.insert(task.job);
        answer_held_task(task, heartbeat.worker.worker, now, state, answer);
    }
    for (auto const id : worker->held)
    {
        if (!listed.contains(id))
        {
            answer_missing_task(
                *state.jobs().find(id), heartbeat, now, state, answer);
        }
    }
    return answer;
}

void heartbeat_service::answer_held_task(core::held_task const& task,
                                         core::worker_id const& worker,
                                         core::time_point now,
                                         state_machine const& state,
                                         core::heartbeat_answer& answer)
{
    auto const* const job = state.jobs().find(task.job);
    bool const is_current_attempt =
        job != nullptr && job->hold && job->attempt == task.attempt &&
        job->hold->worker == worker && !core::is_final(job->state);
    if (!is_current_attempt)
    {
        answer.orders.push_back({task.job, task.attempt, task_action::stop});
        return;
    }
    auto const lease = m_leases.lease_for(job->description.priority);
    if (m_leases.grant(task, lease, now))
    {
        answer.renewals.push_back({task.job, task.attempt, lease});
    }
    if (job->state == job_state::evicting)
    {
        answer.orders.push_back({task.job, task.attempt, task_action::evict});
        return;
    }
    add_pending_requests(task, answer);
}

void heartbeat_service::answer_missing_task(
    core::job_record const& job,
    core::heartbeat_request const& heartbeat,
    core::time_point now,
    state_machine const& state,
    core::heartbeat_answer& answer)
{
    if (job.hold->life != heartbeat.worker.life)
    {
        // The new incarnation can't know whether the attempt still runs, so the
        // attempt ends only when its lease expires.
        return;
    }
    if (job.state == job_state::starting)
    {
        auto const& zone = heartbeat.worker.place.zone;
        if (state.config().is_in_service(zone))
        {
            add_start(job, zone, now, answer);
            return;
        }
    }
    if (job.state != job_state::running)
    {
        // Makes the worker refuse a start order that is still in flight and
        // confirm that the attempt does not run, so that the job can be placed
        // again before the lease expires.
        answer.orders.push_back({job.job, job.attempt, task_action::stop});
    }
}

void heartbeat_service::add_start(core::job_record const& job,
                                  core::zone_id const& zone,
                                  core::time_point now,
                                  core::heartbeat_answer& answer)
{
    auto const lease = m_leases.lease_for(job.description.priority);
    if (!m_leases.grant({job.job, job.attempt}, lease, now))
    {
        return;
    }
    m_leases.record_permit(zone, now);
    answer.starts.push_back({job.job,
                             job.attempt,
                             job.description.kind,
                             job.hold->reserved,
                             job.checkpoint,
                             job.description.payload,
                             m_leases.settings().permit,
                             lease});
}

void heartbeat_service::add_pending_requests(
    core::held_task const& task, core::heartbeat_answer& answer) const
{
    if (auto const known = m_throttle_permille.find(task);
        known != m_throttle_permille.end())
    {
        answer.orders.push_back(
            {task.job, task.attempt, task_action::throttle, known->second});
    }
    if (m_checkpoint_requests.contains(task))
    {
        answer.orders.push_back(
            {task.job, task.attempt, task_action::checkpoint});
    }
}

void heartbeat_service::set_throttle(core::held_task const& task,
                                     std::uint32_t cpu_permille)
{
    m_throttle_permille[task] = cpu_permille;
}

void heartbeat_service::request_checkpoint(core::held_task const& task)
{
    m_checkpoint_requests.insert(task);
}

void heartbeat_service::end_checkpoint(core::held_task const& task)
{
    m_checkpoint_requests.erase(task);
}

void heartbeat_service::clear_requests(core::held_task const& task)
{
    m_throttle_permille.erase(task);
    m_checkpoint_requests.erase(task);
}

} // namespace turmericswitch::cluster_state
