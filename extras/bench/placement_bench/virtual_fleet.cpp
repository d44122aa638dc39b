#include "placement_bench/virtual_fleet.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmericswitch::bench
{

namespace
{

constexpr double step_s = 1;
constexpr double measure_every_s = 10;
constexpr double measured_late_s = 30;
constexpr double start_delay_s = 1;
constexpr double batch_stop_s = 10;
constexpr double service_stop_s = 2;
constexpr double lease_end_s = 30;
// A task killed for memory is started again after this time.
constexpr double kill_retry_s = 30;
constexpr double zone_out_s = 5 * 3600;
// Short notice: what is still in the zone then is lost.
constexpr double zone_gone_s = zone_out_s + 300;
constexpr double zone_in_s = zone_out_s + 3600;
constexpr double zone_watch_end_s = zone_in_s + 1800;
char const* const leaving_zone = "b";

core::time_point at(double seconds)
{
    // The planner's clock starts an hour before the evening.
    return core::time_point(
        core::duration(static_cast<std::int64_t>((seconds + 3600) * 1e6)));
}

core::wall_time wall(double seconds)
{
    return core::wall_time(
        std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

template <typename Number>
double percentile(std::vector<Number> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const position = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(values.begin(), middle, values.end());
    return static_cast<double>(*middle);
}

double core_hours(bench_job const& job, double seconds)
{
    return job.cores * seconds / 3600;
}

/// @return Action and first reason without numbers, to count like records.
std::string reason_of(core::decision_record const& record)
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

virtual_fleet::virtual_fleet(workload const& night,
                             placement::planner_options options)
    : m_night(night), m_planner(std::move(options))
{
    for (auto const& job : night.jobs)
    {
        m_jobs.emplace(job.declared.job, &job);
    }
    add_workers();
}

void virtual_fleet::add_workers()
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
        m_planner.worker_changed(at(0), worker);
    }
}

night_result virtual_fleet::run()
{
    for (double now_s = 0; now_s < night_s; now_s += step_s)
    {
        take_arrivals(now_s);
        change_zone(now_s);
        advance_tasks(now_s);
        measure(now_s);
        deliver_samples(now_s);
        take_requeues(now_s);
        carry_out(now_s, m_planner.tick(at(now_s), wall(now_s)));
    }
    summarise();
    return m_result;
}

void virtual_fleet::take_arrivals(double now_s)
{
    auto const& jobs = m_night.jobs;
    while (m_next_arrival < jobs.size() &&
           jobs[m_next_arrival].arrives_s <= now_s)
    {
        auto const& job = jobs[m_next_arrival++];
        m_queued_at[job.declared.job] = now_s;
        m_planner.job_queued(at(now_s), job.declared);
    }
}

void virtual_fleet::change_zone(double now_s)
{
    core::zone_id const zone(leaving_zone);
    if (now_s == zone_out_s)
    {
        m_planner.zone_changed(
            at(now_s), zone, core::zone_state::out_of_service);
    }
    if (now_s == zone_in_s)
    {
        m_planner.zone_changed(at(now_s), zone, core::zone_state::in_service);
    }
    if (now_s != zone_gone_s)
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
            lose(now_s, now_s + lease_end_s, worker, job);
        }
    }
}

void virtual_fleet::advance_tasks(double now_s)
{
    bool const late = now_s > night_s / 2;
    auto const& effects = late ? m_night.later_effects : m_night.effects;
    // The services' own load rises by half for an hour, twice a night.
    bool const busy =
        (now_s > 7200 && now_s < 10800) || (now_s > 25200 && now_s < 28800);
    for (auto& worker : m_workers)
    {
        double batch_before = 0;
        for (auto const& [job, task] : worker.tasks())
        {
            batch_before +=
                is_batch(*task.job) ? core_hours(*task.job, task.done_s) : 0;
        }
        worker.advance(now_s, step_s, effects, busy ? 1.5 : 1.0);
        double batch_after = 0;
        for (auto const& [job, task] : worker.tasks())
        {
            batch_after +=
                is_batch(*task.job) ? core_hours(*task.job, task.done_s) : 0;
        }
        if (now_s >= zone_out_s && now_s < zone_watch_end_s)
        {
            m_result.done_around_zone_out += batch_after - batch_before;
            m_result.kept_around_zone_out += batch_after - batch_before;
        }
        finish_tasks(now_s, worker);
        kill_for_memory(now_s, worker);
    }
}

void virtual_fleet::finish_tasks(double now_s, virtual_worker& worker)
{
    auto const tasks = worker.tasks();
    for (auto const& [job, task] : tasks)
    {
        if (task.starts_s == now_s)
        {
            m_planner.job_started(at(now_s), job, task.attempt);
        }
        if (task.checkpoint_due_s == now_s + 300)
        {
            m_planner.job_checkpointed(at(now_s), job, task.attempt);
        }
        if (!task.job->is_service() && task.done_s >= task.job->work_s)
        {
            m_result.doubled += m_finished.insert(job).second ? 0 : 1;
            if (is_batch(*task.job))
            {
                m_result.batch_done += core_hours(*task.job, task.job->work_s);
            }
            worker.tasks().erase(job);
            m_holder.erase(job);
            m_planner.job_ended(
                at(now_s), job, placement::terminal_state::finished);
        }
        else if (task.stops_s > 0 && task.stops_s <= now_s)
        {
            // The last checkpoint is taken when the task stops.
            m_requeues.push_back({now_s + 1, job, task.done_s});
            worker.tasks().erase(job);
            m_holder.erase(job);
        }
    }
}

void virtual_fleet::lose(double lost_s,
                         double retry_s,
                         virtual_worker& worker,
                         core::job_id job)
{
    auto const& task = worker.tasks().at(job);
    if (!task.job->is_service())
    {
        m_result.lost_work += core_hours(*task.job, task.done_s - task.saved_s);
    }
    if (is_batch(*task.job) && lost_s >= zone_out_s &&
        lost_s < zone_watch_end_s)
    {
        m_result.kept_around_zone_out -=
            core_hours(*task.job, task.done_s - task.saved_s);
    }
    m_requeues.push_back({retry_s, job, task.saved_s});
    worker.tasks().erase(job);
    m_holder.erase(job);
}

void virtual_fleet::kill_for_memory(double now_s, virtual_worker& worker)
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
        m_planner.job_evicting(at(now_s), job, attempt);
        lose(now_s, now_s + kill_retry_s, worker, job);
    }
}

void virtual_fleet::measure(double now_s)
{
    if (static_cast<std::int64_t>(now_s) %
            static_cast<std::int64_t>(measure_every_s) !=
        0)
    {
        return;
    }
    std::size_t services = 0;
    for (auto& worker : m_workers)
    {
        for (auto const& [job, task] : worker.tasks())
        {
            if (task.starts_s > now_s)
            {
                continue;
            }
            core::usage_sample sample;
            sample.job = job;
            sample.attempt = task.attempt;
            sample.age = core::duration(
                static_cast<std::int64_t>(measured_late_s * 1e6));
            sample.used.cpu = core::millicores(
                static_cast<std::int64_t>(task.cores_used() * 1000));
            sample.used.memory = core::byte_count(
                static_cast<std::int64_t>(task.memory_gb() * 1e9));
            sample.slowdown_permille =
                static_cast<std::uint32_t>(task.slowdown * 1000);
            m_samples.push_back({now_s, worker.description().worker, sample});
            if (task.job->is_service())
            {
                ++services;
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
        double const share =
            measure_every_s / night_s / static_cast<double>(m_workers.size());
        m_result.mean_cpu_reserved += share *
                                      static_cast<double>(used.cpu.value()) /
                                      static_cast<double>(capacity.cpu.value());
        m_result.mean_memory_reserved +=
            share * static_cast<double>(used.memory.value()) /
            static_cast<double>(capacity.memory.value());
    }
    auto const wanted = static_cast<std::size_t>(
        std::count_if(m_night.jobs.begin(),
                      m_night.jobs.end(),
                      [](bench_job const& job) { return job.is_service(); }));
    m_result.service_down_hours +=
        static_cast<double>(wanted - services) * measure_every_s / 3600;
}

void virtual_fleet::deliver_samples(double now_s)
{
    while (!m_samples.empty() &&
           m_samples.front().measured_s + measured_late_s <= now_s)
    {
        auto const& late = m_samples.front();
        m_planner.usage_reported(at(now_s), late.worker, late.sample);
        m_samples.pop_front();
    }
}

void virtual_fleet::take_requeues(double now_s)
{
    auto const due = std::stable_partition(m_requeues.begin(),
                                           m_requeues.end(),
                                           [&](requeue const& item)
                                           { return item.at_s > now_s; });
    for (auto item = due; item != m_requeues.end(); ++item)
    {
        auto again = m_jobs.at(item->job)->declared;
        again.next_attempt = core::attempt_number(m_attempts[item->job] + 1);
        m_saved[item->job] = item->saved_s;
        m_queued_at[item->job] = now_s;
        m_planner.job_queued(at(now_s), again);
    }
    m_requeues.erase(due, m_requeues.end());
}

virtual_worker* virtual_fleet::holder_of(core::job_id job)
{
    auto const found = m_holder.find(job);
    return found == m_holder.end() ? nullptr : &m_workers[found->second];
}

void virtual_fleet::start(double now_s, core::place_task const& command)
{
    auto const slot =
        static_cast<std::size_t>(std::stoi(command.worker.value().substr(1)));
    m_result.doubled += m_holder.contains(command.job) ? 1 : 0;
    virtual_task task;
    task.job = m_jobs.at(command.job);
    task.attempt = command.attempt;
    task.reserved_cores =
        static_cast<double>(command.reserved.cpu.value()) / 1000;
    task.starts_s = now_s + start_delay_s;
    task.checkpoint_due_s = task.starts_s + 300;
    task.saved_s = m_saved[command.job];
    task.done_s = task.saved_s;
    m_attempts[command.job] = command.attempt.value();
    m_holder[command.job] = slot;
    m_workers[slot].tasks()[command.job] = task;
    if (is_urgent(*task.job))
    {
        m_urgent_waits.push_back(now_s - m_queued_at[command.job]);
    }
}

void virtual_fleet::evict(double now_s, core::evict_task const& command)
{
    ++m_result.evictions;
    auto* worker = holder_of(command.job);
    if (worker == nullptr)
    {
        return;
    }
    auto& task = worker->tasks().at(command.job);
    double const time = task.job->is_service() ? service_stop_s : batch_stop_s;
    task.stops_s = now_s + time;
}

void virtual_fleet::carry_out(double now_s,
                              placement::tick_decisions const& decisions)
{
    for (auto const& record : decisions.records)
    {
        m_result.reasons[reason_of(record)] += 1;
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
        m_planner.job_ended(
            at(now_s), command.job, placement::terminal_state::stopped);
    }
    for (auto const& item : decisions.throttles)
    {
        ++m_result.throttles;
        if (auto* worker = holder_of(item.order.job))
        {
            worker->tasks().at(item.order.job).cpu_permille =
                item.order.cpu_permille;
        }
    }
}

void virtual_fleet::summarise()
{
    m_result.p99_slowdown = percentile(m_service_slowdowns, 0.99);
    double const sum = std::accumulate(
        m_service_slowdowns.begin(), m_service_slowdowns.end(), 0.0);
    m_result.mean_slowdown = sum / static_cast<double>(std::max<std::size_t>(
                                       1, m_service_slowdowns.size()));
    m_result.urgent_p99_slowdown = percentile(m_urgent_slowdowns, 0.99);
    m_result.urgent_p99_wait_s = percentile(m_urgent_waits, 0.99);
    for (auto const& job : m_night.jobs)
    {
        if (!is_batch(job))
        {
            continue;
        }
        m_result.batch_due += core_hours(job, job.work_s);
        m_result.unfinished += m_finished.contains(job.declared.job) ? 0 : 1;
    }
}

} // namespace turmericswitch::bench
