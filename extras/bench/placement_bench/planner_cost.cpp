#include "placement_bench/planner_cost.hpp"

#include "core/hooks/random_source.hpp"
#include "placement/placement.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <map>
#include <unistd.h>
#include <vector>

namespace turmericswitch::bench
{

namespace
{

constexpr int ticks_per_s = 10;
constexpr int warm_up_ticks = 200;
constexpr int measured_ticks = 300;
constexpr std::size_t teams = 360;
constexpr std::size_t kinds = 24;
constexpr std::size_t sample_interval_ticks = 100;
constexpr core::duration tick_length = std::chrono::milliseconds(100);

double cpu_ms()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e3 +
           static_cast<double>(spent.tv_nsec) / 1e6;
}

double resident_mb()
{
    std::ifstream statm("/proc/self/statm");
    long size = 0;
    long resident = 0;
    statm >> size >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

struct running_job
{
    core::attempt_number attempt;
    core::worker_id worker;
    placement::queued_job job;
};

struct usage_report
{
    core::worker_id worker;
    core::usage_sample sample;
};

/// Feeds one planner with jobs, usage reports and job ends, and measures its
/// processor time.
class planner_load_generator
{
public:
    planner_load_generator(std::size_t workers, double starts_per_s)
        : m_workers(workers),
          m_starts_per_tick(starts_per_s / ticks_per_s),
          m_random(core::seeded_random(workers))
    {
        add_workers();
        add_long_running();
    }

    planner_cost run();

private:
    void add_workers();
    void add_long_running();
    placement::queued_job make_job(core::priority_class priority);
    void queue(placement::queued_job const& job);
    void run_tick(bool measured);
    void apply_decisions(placement::tick_decisions const& decisions,
                         bool measured);
    void finish_due_jobs();
    /// Builds the usage reports of this tick, outside the measured time.
    std::vector<usage_report> make_usage_reports();

    std::size_t m_workers;
    double m_starts_per_tick;
    double m_due_starts = 0;
    core::random_source m_random;
    placement::planner m_planner;
    core::time_point m_now{std::chrono::hours(1)};
    std::int64_t m_tick = 0;
    std::uint64_t m_last_job = 0;
    std::map<core::job_id, running_job> m_running;
    std::map<core::job_id, placement::queued_job> m_waiting;
    std::map<core::job_id, std::int64_t> m_queued_tick;
    std::multimap<std::int64_t, core::job_id> m_end_ticks;
    std::vector<double> m_tick_ms;
    std::vector<double> m_urgent_ticks;
    double m_cpu_ms = 0;
    double m_started = 0;
};

void planner_load_generator::add_workers()
{
    for (std::size_t i = 0; i < m_workers; ++i)
    {
        core::worker_description worker;
        worker.worker = core::worker_id("w" + std::to_string(i));
        worker.life = core::incarnation(1);
        worker.place.zone = core::zone_id("z" + std::to_string(i % 6));
        worker.rack = core::rack_id("r" + std::to_string(i / 3));
        worker.capacity.cpu = core::millicores(32'000);
        worker.capacity.memory = core::byte_count(125'000'000'000);
        worker.capacity.accelerators = core::accelerator_count(2);
        m_planner.worker_changed(m_now, worker);
    }
}

placement::queued_job
planner_load_generator::make_job(core::priority_class priority)
{
    placement::queued_job job;
    job.job = core::job_id(++m_last_job);
    auto const team = core::random_below(m_random, teams);
    job.team = core::team_id("team" + std::to_string(team));
    auto const kind = core::random_below(m_random, kinds / 3);
    auto const group = static_cast<std::size_t>(priority);
    job.kind = core::task_kind("kind" + std::to_string(group * 8 + kind));
    job.priority = priority;
    job.declared.cpu = core::millicores(
        100 + static_cast<std::int64_t>(core::random_below(m_random, 900)));
    job.declared.memory = core::byte_count(static_cast<std::int64_t>(
        (1 + core::random_below(m_random, 4)) * 1'000'000'000ULL));
    job.expected_run_time = std::chrono::seconds(2);
    return job;
}

void planner_load_generator::queue(placement::queued_job const& job)
{
    m_waiting.emplace(job.job, job);
    m_queued_tick.emplace(job.job, m_tick);
    m_planner.job_queued(m_now, job);
}

void planner_load_generator::add_long_running()
{
    // 6,000 running tasks on 660 workers, scaled to this number of workers.
    std::size_t const services = 2'100 * m_workers / 660;
    std::size_t const batch = 3'900 * m_workers / 660;
    for (std::size_t i = 0; i < services + batch; ++i)
    {
        queue(make_job(i < services ? core::priority_class::service
                                    : core::priority_class::batch));
    }
}

void planner_load_generator::finish_due_jobs()
{
    while (!m_end_ticks.empty() && m_end_ticks.begin()->first <= m_tick)
    {
        auto const job = m_end_ticks.begin()->second;
        m_end_ticks.erase(m_end_ticks.begin());
        m_running.erase(job);
        m_planner.job_ended(m_now, job, placement::terminal_state::finished);
    }
}

std::vector<usage_report> planner_load_generator::make_usage_reports()
{
    std::vector<usage_report> reports;
    for (auto const& [id, task] : m_running)
    {
        if (id.value() % sample_interval_ticks !=
            static_cast<std::uint64_t>(m_tick) % sample_interval_ticks)
        {
            continue;
        }
        core::usage_sample sample;
        sample.job = id;
        sample.attempt = task.attempt;
        sample.age = std::chrono::seconds(1);
        sample.used = task.job.declared;
        sample.slowdown_permille = static_cast<std::uint32_t>(
            1000 + core::random_below(m_random, 100));
        reports.push_back({task.worker, sample});
    }
    return reports;
}

void planner_load_generator::apply_decisions(
    placement::tick_decisions const& decisions, bool measured)
{
    for (auto const& command : decisions.batch.placements)
    {
        auto const waiting = m_waiting.extract(command.job);
        auto const& job = waiting.mapped();
        auto const waited =
            static_cast<double>(m_tick - m_queued_tick[command.job]);
        m_queued_tick.erase(command.job);
        if (measured && job.priority == core::priority_class::urgent)
        {
            m_urgent_ticks.push_back(waited);
        }
        m_started += measured ? 1 : 0;
        m_running[command.job] = {command.attempt, command.worker, job};
        m_planner.job_started(m_now, command.job, command.attempt);
        bool const is_short = job.job.value() > 6'000 * m_workers / 660;
        if (is_short)
        {
            auto const ticks = core::random_below(m_random, 20);
            m_end_ticks.emplace(m_tick + 10 + static_cast<std::int64_t>(ticks),
                                command.job);
        }
    }
    for (auto const& command : decisions.batch.evictions)
    {
        auto const running = m_running.extract(command.job);
        auto requeued = running.mapped().job;
        requeued.next_attempt =
            core::attempt_number(command.attempt.value() + 1);
        std::erase_if(m_end_ticks,
                      [&](auto const& item)
                      { return item.second == command.job; });
        queue(requeued);
    }
}

void planner_load_generator::run_tick(bool measured)
{
    ++m_tick;
    m_now += tick_length;
    m_due_starts += m_starts_per_tick;
    auto const reports = make_usage_reports();
    double const before = cpu_ms();
    // Usage reports come before job ends, so that reports of tasks that end in
    // this tick still refer to a running task.
    for (auto const& [worker, sample] : reports)
    {
        m_planner.usage_reported(m_now, worker, sample);
    }
    finish_due_jobs();
    for (; m_due_starts >= 1; m_due_starts -= 1)
    {
        bool const urgent = core::random_below(m_random, 5) == 0;
        queue(make_job(urgent ? core::priority_class::urgent
                              : core::priority_class::batch));
    }
    double const events_done = cpu_ms();
    core::wall_time const wall(m_now.time_since_epoch());
    auto const decisions = m_planner.tick(m_now, wall);
    double const tick_done = cpu_ms();
    if (measured)
    {
        m_tick_ms.push_back(tick_done - events_done);
        m_cpu_ms += tick_done - before;
    }
    apply_decisions(decisions, measured);
}

planner_cost planner_load_generator::run()
{
    double const memory_before = resident_mb();
    for (int i = 0; i < warm_up_ticks + measured_ticks; ++i)
    {
        run_tick(i >= warm_up_ticks);
    }
    std::sort(m_tick_ms.begin(), m_tick_ms.end());
    std::sort(m_urgent_ticks.begin(), m_urgent_ticks.end());
    auto const quantile = [](std::vector<double> const& sorted, double fraction)
    {
        auto const last = static_cast<double>(sorted.size() - 1);
        return sorted.empty()
                   ? 0
                   : sorted[static_cast<std::size_t>(fraction * last)];
    };
    planner_cost result;
    result.workers = m_workers;
    result.starts_per_s = m_started / measured_ticks * ticks_per_s;
    result.tick_p50_ms = quantile(m_tick_ms, 0.5);
    result.tick_p99_ms = quantile(m_tick_ms, 0.99);
    result.us_per_start = m_cpu_ms * 1000 / std::max(1.0, m_started);
    result.urgent_p99_ticks = quantile(m_urgent_ticks, 0.99);
    result.core_utilization =
        m_cpu_ms / (measured_ticks * 1000.0 / ticks_per_s);
    result.memory_mb = resident_mb() - memory_before;
    result.running = m_running.size();
    result.queued = m_planner.counts().queued;
    return result;
}

} // namespace

planner_cost measure_planner_cost(std::size_t workers, double starts_per_s)
{
    return planner_load_generator(workers, starts_per_s).run();
}

} // namespace turmericswitch::bench
