#include "placement_bench/fleet_simulation.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmericswitch::bench
{

namespace
{

constexpr double step_s = 1;
constexpr double sample_interval_s = 10;
constexpr double sample_delay_s = 30;
constexpr double start_delay_s = 1;
constexpr double batch_stop_s = 10;
constexpr double service_stop_s = 2;
constexpr double lease_expiry_s = 30;
// Delay before a task that was killed for memory is queued again.
constexpr double memory_kill_retry_s = 30;
constexpr double zone_out_s = 5 * 3600;
// Short notice: tasks that still run in the zone 5 minutes later are lost.
constexpr double zone_shutdown_s = zone_out_s + 300;
constexpr double zone_in_s = zone_out_s + 3600;
constexpr double zone_out_window_end_s = zone_in_s + 1800;
char const* const outage_zone = "b";

core::time_point planner_time(double seconds)
{
    // The planner's clock starts an hour before the simulated night.
    return core::time_point(
        core::duration(static_cast<std::int64_t>((seconds + 3600) * 1e6)));
}

core::wall_time wall_time_at(double seconds)
{
    return core::wall_time(
        std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

template <typename Number>
double percentile(std::vector<Number> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    auto const position = static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1));
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(values.begin(), middle, values.end());
    return static_cast<double>(*middle);
}

double core_hours(bench_job const& job, double seconds)
{
    return job.cores * seconds / 3600;
}

/// @return Action and first reason of the record without digits, so that
/// records that differ only in numbers are counted together.
std::string decision_key(core::decision_record const& record)
{
    std::string text = record.action + ": ";
    if (!record.reasons.empty())
    {
        text += record.reasons.front();
    }
    std::erase_if(text, [](char c) { return c >= '0' && c <= '9'; });
    return text;
}

bool is_batch(bench_job const& job)
{
    return job.declared.priority == core::priority_class::batch;
}

bool is_urgent(bench_job const& job)
{
    return job.declared.priority == core::priority_class::urgent;
}

} // namespace

fleet_simulation::fleet_simulation(workload const& workload,
                                   placement::planner_options options)
    : m_workload(workload), m_planner(std::move(options))
{
    for (auto const& job : workload.jobs)
    {
        m_jobs.emplace(job.declared.job, &job);
    }
    add_workers();
}

void fleet_simulation::add_workers()
{
    for (int i = 0; i < 10; ++i)
    {
        core::worker_description worker;
        worker.worker = core::worker_id("w" + std::to_string(i));
        worker.life = core::incarnation(1);
        char const* const zone = i < 4 ? "a" : (i < 7 ? "b" : "c");
        worker.place.zone = core::zone_id(zone);
        worker.place.region = core::region_id(i < 7 ? "one" : "two");
        worker.rack = core::rack_id("r" + std::to_string(i / 3));
        worker.capacity.cpu = core::millicores(32'000);
        worker.capacity.memory = core::byte_count(125'000'000'000);
        m_workers.emplace_back(worker);
        m_planner.worker_changed(planner_time(0), worker);
    }
}

fleet_result fleet_simulation::run()
{
    for (double now_s = 0; now_s < night_duration_s; now_s += step_s)
    {
        queue_arrivals(now_s);
        update_zone(now_s);
        advance_tasks(now_s);
        record_samples(now_s);
        deliver_samples(now_s);
        requeue_due_tasks(now_s);
        apply_decisions(
            now_s, m_planner.tick(planner_time(now_s), wall_time_at(now_s)));
    }
    summarize();
    return m_result;
}

void fleet_simulation::queue_arrivals(double now_s)
{
    auto const& jobs = m_workload.jobs;
    while (m_next_arrival < jobs.size() &&
           jobs[m_next_arrival].arrival_s <= now_s)
    {
        auto const& job = jobs[m_next_arrival++];
        m_queued_at[job.declared.job] = now_s;
        m_planner.job_queued(planner_time(now_s), job.declared);
    }
}

void fleet_simulation::update_zone(double now_s)
{
    core::zone_id const zone(outage_zone);
    if (now_s == zone_out_s)
    {
        m_planner.zone_changed(
            planner_time(now_s), zone, core::zone_state::out_of_service);
    }
    if (now_s == zone_in_s)
    {
        m_planner.zone_changed(
            planner_time(now_s), zone, core::zone_state::in_service);
    }
    if (now_s != zone_shutdown_s)
    {
        return;
    }
    for (auto& worker : m_workers)
    {
        if (worker.description().place.zone != zone)
        {
            continue;
        }
        auto const tasks = worker.tasks();
        for (auto const& [job, task] : tasks)
        {
            requeue_from_checkpoint(now_s, now_s + lease_expiry_s, worker, job);
        }
    }
}

void fleet_simulation::advance_tasks(double now_s)
{
    bool const is_second_half = now_s > night_duration_s / 2;
    auto const& interference = is_second_half ? m_workload.later_interference
                                              : m_workload.interference;
    // The load of the services rises by half for an hour, twice a night.
    bool const is_peak_load =
        (now_s > 7200 && now_s < 10800) || (now_s > 25200 && now_s < 28800);
    for (auto& worker : m_workers)
    {
        double batch_before = 0;
        for (auto const& [job, task] : worker.tasks())
        {
            batch_before += is_batch(*task.job)
                                ? core_hours(*task.job, task.completed_work_s)
                                : 0;
        }
        worker.advance(now_s, step_s, interference, is_peak_load ? 1.5 : 1.0);
        double batch_after = 0;
        for (auto const& [job, task] : worker.tasks())
        {
            batch_after += is_batch(*task.job)
                               ? core_hours(*task.job, task.completed_work_s)
                               : 0;
        }
        if (now_s >= zone_out_s && now_s < zone_out_window_end_s)
        {
            m_result.zone_out_progress += batch_after - batch_before;
            m_result.zone_out_retained_progress += batch_after - batch_before;
        }
        finish_tasks(now_s, worker);
        kill_for_memory(now_s, worker);
    }
}

void fleet_simulation::finish_tasks(double now_s, simulated_worker& worker)
{
    auto const tasks = worker.tasks();
    for (auto const& [job, task] : tasks)
    {
        if (task.start_s == now_s)
        {
            m_planner.job_started(planner_time(now_s), job, task.attempt);
        }
        if (task.next_checkpoint_s == now_s + 300)
        {
            m_planner.job_checkpointed(planner_time(now_s), job, task.attempt);
        }
        if (!task.job->is_service() &&
            task.completed_work_s >= task.job->work_s)
        {
            m_result.duplicate_executions +=
                m_finished.insert(job).second ? 0 : 1;
            if (is_batch(*task.job))
            {
                m_result.batch_done_core_hours +=
                    core_hours(*task.job, task.job->work_s);
            }
            worker.tasks().erase(job);
            m_worker_indexes.erase(job);
            m_planner.job_ended(
                planner_time(now_s), job, placement::terminal_state::finished);
        }
        else if (task.stop_s > 0 && task.stop_s <= now_s)
        {
            // An evicted task takes a final checkpoint when it stops.
            m_requeues.push_back({now_s + 1, job, task.completed_work_s});
            worker.tasks().erase(job);
            m_worker_indexes.erase(job);
        }
    }
}

void fleet_simulation::requeue_from_checkpoint(double now_s,
                                               double retry_s,
                                               simulated_worker& worker,
                                               core::job_id job)
{
    auto const& task = worker.tasks().at(job);
    if (!task.job->is_service())
    {
        m_result.lost_core_hours += core_hours(
            *task.job, task.completed_work_s - task.checkpointed_work_s);
    }
    if (is_batch(*task.job) && now_s >= zone_out_s &&
        now_s < zone_out_window_end_s)
    {
        m_result.zone_out_retained_progress -= core_hours(
            *task.job, task.completed_work_s - task.checkpointed_work_s);
    }
    m_requeues.push_back({retry_s, job, task.checkpointed_work_s});
    worker.tasks().erase(job);
    m_worker_indexes.erase(job);
}

void fleet_simulation::kill_for_memory(double now_s, simulated_worker& worker)
{
    auto const capacity =
        static_cast<double>(worker.description().capacity.memory.value()) / 1e9;
    while (worker.memory_gb() > capacity)
    {
        auto const& tasks = worker.tasks();
        auto const largest = std::max_element(
            tasks.begin(),
            tasks.end(),
            [](auto const& a, auto const& b)
            { return a.second.memory_gb() < b.second.memory_gb(); });
        auto const job = largest->first;
        auto const attempt = largest->second.attempt;
        ++m_result.memory_kills;
        m_planner.job_evicting(planner_time(now_s), job, attempt);
        requeue_from_checkpoint(
            now_s, now_s + memory_kill_retry_s, worker, job);
    }
}

void fleet_simulation::record_samples(double now_s)
{
    if (static_cast<std::int64_t>(now_s) %
            static_cast<std::int64_t>(sample_interval_s) !=
        0)
    {
        return;
    }
    std::size_t running_services = 0;
    for (auto& worker : m_workers)
    {
        for (auto const& [job, task] : worker.tasks())
        {
            if (task.start_s > now_s)
            {
                continue;
            }
            core::usage_sample sample;
            sample.job = job;
            sample.attempt = task.attempt;
            sample.age =
                core::duration(static_cast<std::int64_t>(sample_delay_s * 1e6));
            sample.used.cpu = core::millicores(
                static_cast<std::int64_t>(task.cores_used() * 1000));
            sample.used.memory = core::byte_count(
                static_cast<std::int64_t>(task.memory_gb() * 1e9));
            sample.slowdown_permille =
                static_cast<std::uint32_t>(task.slowdown * 1000);
            m_samples.push_back({now_s, worker.description().worker, sample});
            if (task.job->is_service())
            {
                ++running_services;
                m_service_slowdowns.push_back(
                    static_cast<float>(task.slowdown));
            }
            if (is_urgent(*task.job))
            {
                m_urgent_slowdowns.push_back(static_cast<float>(task.slowdown));
            }
        }
    }
    for (auto const& worker : m_workers)
    {
        auto const& capacity = worker.description().capacity;
        auto const used = m_planner.reserved_on(worker.description().worker);
        double const share = sample_interval_s / night_duration_s /
                             static_cast<double>(m_workers.size());
        m_result.mean_cpu_reserved += share *
                                      static_cast<double>(used.cpu.value()) /
                                      static_cast<double>(capacity.cpu.value());
        m_result.mean_memory_reserved +=
            share * static_cast<double>(used.memory.value()) /
            static_cast<double>(capacity.memory.value());
    }
    auto const service_count = static_cast<std::size_t>(
        std::count_if(m_workload.jobs.begin(),
                      m_workload.jobs.end(),
                      [](bench_job const& job) { return job.is_service(); }));
    m_result.service_down_hours +=
        static_cast<double>(service_count - running_services) *
        sample_interval_s / 3600;
}

void fleet_simulation::deliver_samples(double now_s)
{
    while (!m_samples.empty() &&
           m_samples.front().measured_s + sample_delay_s <= now_s)
    {
        auto const& delayed = m_samples.front();
        m_planner.usage_reported(
            planner_time(now_s), delayed.worker, delayed.sample);
        m_samples.pop_front();
    }
}

void fleet_simulation::requeue_due_tasks(double now_s)
{
    auto const due = std::stable_partition(m_requeues.begin(),
                                           m_requeues.end(),
                                           [&](requeue const& item)
                                           { return item.retry_s > now_s; });
    for (auto item = due; item != m_requeues.end(); ++item)
    {
        auto requeued = m_jobs.at(item->job)->declared;
        requeued.next_attempt = core::attempt_number(m_attempts[item->job] + 1);
        m_checkpointed_work_s[item->job] = item->checkpointed_work_s;
        m_queued_at[item->job] = now_s;
        m_planner.job_queued(planner_time(now_s), requeued);
    }
    m_requeues.erase(due, m_requeues.end());
}

simulated_worker* fleet_simulation::find_worker(core::job_id job)
{
    auto const found = m_worker_indexes.find(job);
    return found == m_worker_indexes.end() ? nullptr
                                           : &m_workers[found->second];
}

void fleet_simulation::start(double now_s, core::place_task const& command)
{
    auto const worker_index =
        static_cast<std::size_t>(std::stoi(command.worker.value().substr(1)));
    m_result.duplicate_executions +=
        m_worker_indexes.contains(command.job) ? 1 : 0;
    simulated_task task;
    task.job = m_jobs.at(command.job);
    task.attempt = command.attempt;
    task.reserved_cores =
        static_cast<double>(command.reserved.cpu.value()) / 1000;
    task.start_s = now_s + start_delay_s;
    task.next_checkpoint_s = task.start_s + 300;
    task.checkpointed_work_s = m_checkpointed_work_s[command.job];
    task.completed_work_s = task.checkpointed_work_s;
    m_attempts[command.job] = command.attempt.value();
    m_worker_indexes[command.job] = worker_index;
    m_workers[worker_index].tasks()[command.job] = task;
    if (is_urgent(*task.job))
    {
        m_urgent_waits.push_back(now_s - m_queued_at[command.job]);
    }
}

void fleet_simulation::evict(double now_s, core::evict_task const& command)
{
    ++m_result.evictions;
    auto* worker = find_worker(command.job);
    if (worker == nullptr)
    {
        return;
    }
    auto& task = worker->tasks().at(command.job);
    double const stop_delay_s =
        task.job->is_service() ? service_stop_s : batch_stop_s;
    task.stop_s = now_s + stop_delay_s;
}

void fleet_simulation::apply_decisions(
    double now_s, placement::tick_decisions const& decisions)
{
    for (auto const& record : decisions.records)
    {
        m_result.decision_counts[decision_key(record)] += 1;
    }
    for (auto const& command : decisions.batch.placements)
    {
        start(now_s, command);
    }
    for (auto const& command : decisions.batch.evictions)
    {
        evict(now_s, command);
    }
    for (auto const& command : decisions.batch.stops)
    {
        m_planner.job_ended(planner_time(now_s),
                            command.job,
                            placement::terminal_state::stopped);
    }
    for (auto const& item : decisions.throttles)
    {
        ++m_result.throttles;
        if (auto* worker = find_worker(item.order.job))
        {
            worker->tasks().at(item.order.job).cpu_permille =
                item.order.cpu_permille;
        }
    }
}

void fleet_simulation::summarize()
{
    m_result.p99_slowdown = percentile(m_service_slowdowns, 0.99);
    double const sum = std::accumulate(
        m_service_slowdowns.begin(), m_service_slowdowns.end(), 0.0);
    m_result.mean_slowdown = sum / static_cast<double>(std::max<std::size_t>(
                                       1, m_service_slowdowns.size()));
    m_result.urgent_p99_slowdown = percentile(m_urgent_slowdowns, 0.99);
    m_result.urgent_p99_wait_s = percentile(m_urgent_waits, 0.99);
    for (auto const& job : m_workload.jobs)
    {
        if (!is_batch(job))
        {
            continue;
        }
        m_result.batch_due_core_hours += core_hours(job, job.work_s);
        m_result.unfinished += m_finished.contains(job.declared.job) ? 0 : 1;
    }
}

} // namespace turmericswitch::bench
