#include "cluster_state/tests/fake_cluster.hpp"

#include <algorithm>

// The simulated workers: heartbeats, orders, tasks and leases.

namespace turmericswitch::cluster_state
{

using namespace core;

namespace
{

constexpr std::int64_t work_per_job = 300;

} // namespace

void fake_cluster::step_worker(fake_worker& worker)
{
    auto const now = local_time(worker);
    std::erase_if(worker.orphans,
                  [now](auto const& each)
                  { return each.second.lease_end <= now; });
    for (auto task = worker.tasks.begin(); task != worker.tasks.end();)
    {
        auto& [job, run] = *task;
        ++run.progress;
        auto event = task_event::started;
        if (run.lease_end <= now)
        {
            event = task_event::stopped;
        }
        else if (run.progress >= work_per_job)
        {
            event = task_event::finished;
        }
        else if (m_faults && below(2000) == 0)
        {
            event = task_event::failed;
        }
        else if (run.progress % 70 == 0)
        {
            report(worker,
                   {job, run.attempt},
                   task_event::checkpointed,
                   checkpoint_id(std::to_string(run.progress)));
        }
        if (event == task_event::started)
        {
            ++task;
            continue;
        }
        report(worker, {job, run.attempt}, event);
        task = worker.tasks.erase(task);
    }
    if (now >= worker.next_heartbeat)
    {
        send_heartbeat(worker);
    }
}

void fake_cluster::report(fake_worker& worker,
                          held_task const& task,
                          task_event event,
                          std::optional<checkpoint_id> const& checkpoint)
{
    ++worker.reported;
    worker.reports.push_back(
        {task.job, task.attempt, event, checkpoint, {}, {}});
}

void fake_cluster::send_heartbeat(fake_worker& worker)
{
    worker.next_heartbeat =
        local_time(worker) + m_settings.heartbeat_interval.count();
    heartbeat_request heartbeat;
    heartbeat.worker = worker.description;
    heartbeat.sent_at = duration(local_time(worker));
    heartbeat.report_sequence = worker.reported;
    heartbeat.reports = worker.reports;
    for (auto const& [job, run] : worker.tasks)
    {
        heartbeat.held.push_back({job, run.attempt});
    }
    deliver([this, heartbeat] { receive_heartbeat(heartbeat); });
}

void fake_cluster::receive_heartbeat(heartbeat_request const& heartbeat)
{
    auto const index = static_cast<std::size_t>(
        std::stoul(heartbeat.worker.worker.value().substr(1)));
    propose(m_service->prepare(heartbeat, m_state),
            [this, heartbeat, index]
            {
                auto const answer =
                    m_service->answer(heartbeat, leader_now(), m_state);
                deliver([this, index, life = heartbeat.worker.life, answer]
                        { receive_answer(index, life, answer); });
            });
}

void fake_cluster::receive_answer(std::size_t index,
                                  incarnation life,
                                  heartbeat_answer const& answer)
{
    auto& worker = m_workers[index];
    if (worker.description.life != life || answer.code != result_code::ok)
    {
        return;
    }
    auto const sent_at = answer.sent_at.count();
    for (; worker.acknowledged < answer.acknowledged_reports;
         ++worker.acknowledged)
    {
        worker.reports.erase(worker.reports.begin());
    }
    for (auto const& order : answer.starts)
    {
        start(worker, order, sent_at);
    }
    for (auto const& order : answer.renewals)
    {
        auto const run = worker.tasks.find(order.job);
        if (run != worker.tasks.end() && run->second.attempt == order.attempt)
        {
            run->second.lease_end =
                std::max(run->second.lease_end, sent_at + order.lease.count());
        }
    }
    for (auto const& order : answer.orders)
    {
        stop(worker, order);
    }
}

void fake_cluster::start(fake_worker& worker,
                         start_order const& order,
                         std::int64_t sent_at)
{
    if (order.attempt <= worker.latest_attempts[order.job])
    {
        return;
    }
    worker.latest_attempts[order.job] = order.attempt;
    if (local_time(worker) > sent_at + order.permit.count())
    {
        report(worker, {order.job, order.attempt}, task_event::refused);
        return;
    }
    check_start(worker, order);
    worker.tasks[order.job] = {order.attempt,
                               order.reserved,
                               sent_at + order.lease.count(),
                               progress_of(order.checkpoint)};
    report(worker, {order.job, order.attempt}, task_event::started);
}

void fake_cluster::stop(fake_worker& worker, task_order const& order)
{
    auto const run = worker.tasks.find(order.job);
    bool const is_held =
        run != worker.tasks.end() && run->second.attempt == order.attempt;
    if (!is_held && order.attempt <= worker.latest_attempts[order.job])
    {
        return;
    }
    std::optional<checkpoint_id> last;
    if (is_held)
    {
        if (order.action == task_action::evict)
        {
            last = checkpoint_id(std::to_string(run->second.progress));
        }
        worker.tasks.erase(run);
    }
    worker.latest_attempts[order.job] = order.attempt;
    report(worker, {order.job, order.attempt}, task_event::stopped, last);
}

void fake_cluster::restart(fake_worker& worker)
{
    worker.orphans.insert(
        worker.orphans.end(), worker.tasks.begin(), worker.tasks.end());
    worker.tasks.clear();
    worker.latest_attempts.clear();
    worker.reports.clear();
    worker.reported = worker.acknowledged = 0;
    auto& life = worker.description.life;
    life = incarnation(life.value() + 1);
}

} // namespace turmericswitch::cluster_state
