#include "placement_bench/workload.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::bench
{

namespace
{

constexpr int teams = 6;
constexpr double worker_cores = 32;
constexpr double worker_memory_gb = 125;
// Declarations are wrong by at most this factor in either direction.
constexpr double max_estimate_error = 10;

struct range
{
    double low;
    double high;
};

/// Distribution of the jobs of one kind.
struct job_template
{
    std::string kind;
    core::priority_class priority;
    range cores;
    range memory_gb;
    range work_s;
    bool morning_deadline = false;
};

/// Generates jobs whose declarations are wrong by a factor that depends on the
/// team and kind, because owners copy settings from job to job.
class job_generator
{
public:
    explicit job_generator(std::uint64_t seed)
        : m_random(core::seeded_random(seed))
    {
    }

    double uniform(range limits)
    {
        return limits.low +
               (limits.high - limits.low) * core::random_unit(m_random);
    }

    void add(workload& night, job_template const& shape, double arrival_s)
    {
        bench_job job;
        int const team = static_cast<int>(core::random_below(m_random, teams));
        job.arrival_s = arrival_s;
        job.cores = uniform(shape.cores);
        job.memory_gb = uniform(shape.memory_gb);
        job.work_s = uniform(shape.work_s);
        auto& declared = job.declared;
        declared.job = core::job_id(++m_last_job);
        declared.team = core::team_id("team" + std::to_string(team));
        declared.kind = core::task_kind(shape.kind);
        declared.priority = shape.priority;
        auto const key = shape.kind + std::to_string(team);
        double const cores =
            std::min(worker_cores,
                     std::max(0.1, job.cores * estimate_error(key + "cpu")));
        double const memory = std::min(
            worker_memory_gb,
            std::max(0.1, job.memory_gb * estimate_error(key + "memory")));
        declared.declared.cpu =
            core::millicores(static_cast<std::int64_t>(cores * 1000));
        declared.declared.memory =
            core::byte_count(static_cast<std::int64_t>(memory * 1e9));
        double const run_s = job.work_s * estimate_error(key + "time");
        declared.expected_run_time =
            core::duration(static_cast<std::int64_t>(run_s * 1e6));
        if (shape.morning_deadline)
        {
            declared.deadline = core::wall_time(std::chrono::microseconds(
                static_cast<std::int64_t>(morning_deadline_s * 1e6)));
        }
        night.jobs.push_back(job);
    }

    void add_many(workload& night,
                  job_template const& shape,
                  int count,
                  range arrival_s)
    {
        for (int i = 0; i < count; ++i)
        {
            add(night, shape, uniform(arrival_s));
        }
    }

private:
    double estimate_error(std::string const& key)
    {
        auto const found = m_estimate_errors.find(key);
        double base = 1;
        if (found == m_estimate_errors.end())
        {
            base = std::pow(max_estimate_error, uniform({-1, 1}));
            m_estimate_errors.emplace(key, base);
        }
        else
        {
            base = found->second;
        }
        double const factor = base * uniform({0.8, 1.25});
        return std::clamp(factor, 1 / max_estimate_error, max_estimate_error);
    }

    core::random_source m_random;
    std::map<std::string, double> m_estimate_errors;
    std::uint64_t m_last_job = 0;
};

constexpr auto service = core::priority_class::service;
constexpr auto batch = core::priority_class::batch;
constexpr auto urgent = core::priority_class::urgent;

void sort_by_arrival(workload& night)
{
    std::stable_sort(night.jobs.begin(),
                     night.jobs.end(),
                     [](bench_job const& a, bench_job const& b)
                     { return a.arrival_s < b.arrival_s; });
}

} // namespace

workload route_planning_workload(std::uint64_t seed)
{
    job_generator generator(seed);
    workload night;
    job_template const booking{
        "booking", service, {1.5, 3}, {3, 6}, {1e9, 1e9}};
    job_template const plan{
        "route_plan", batch, {2, 6}, {4, 14}, {600, 3600}, true};
    job_template const report{
        "report", batch, {1, 2}, {2, 20}, {120, 600}, true};
    job_template const rebuild{
        "map_rebuild", batch, {3, 6}, {6, 12}, {600, 1500}, true};
    generator.add_many(night, booking, 20, {0, 10});
    generator.add_many(night, plan, 700, {60, 4 * 3600});
    generator.add_many(night, report, 500, {60, 7 * 3600});
    // Noisy neighbors arrive in waves.
    for (int wave = 0; wave < 6; ++wave)
    {
        double const at = 1800 + wave * 5000;
        generator.add_many(night, rebuild, 25, {at, at + 120});
    }
    night.interference = {{{"booking", "route_plan"}, 0.3},
                          {{"booking", "report"}, 0.05},
                          {{"booking", "map_rebuild"}, 3.0},
                          {{"booking", "booking"}, 0.2},
                          {{"route_plan", "map_rebuild"}, 1.0},
                          {{"route_plan", "route_plan"}, 0.2},
                          {{"map_rebuild", "map_rebuild"}, 0.5}};
    night.later_interference = night.interference;
    night.later_interference[{"booking", "report"}] = 1.5;
    night.later_interference[{"booking", "route_plan"}] = 0.1;
    sort_by_arrival(night);
    return night;
}

workload label_printing_workload(std::uint64_t seed)
{
    job_generator generator(seed + 1000);
    workload night;
    job_template const watcher{
        "watcher", service, {0.4, 1}, {1, 3}, {1e9, 1e9}};
    job_template const proof{"proof", urgent, {0.5, 1.5}, {1, 2}, {5, 20}};
    job_template const layout{
        "layout", batch, {4, 8}, {8, 24}, {600, 2400}, true};
    job_template const raster{
        "raster", batch, {4, 8}, {4, 10}, {300, 900}, true};
    generator.add_many(night, watcher, 30, {0, 10});
    generator.add_many(night, proof, 4000, {60, night_duration_s - 600});
    generator.add_many(night, layout, 650, {60, 5 * 3600});
    // Noisy neighbors arrive in waves.
    for (int wave = 0; wave < 8; ++wave)
    {
        double const at = 1200 + wave * 3800;
        generator.add_many(night, raster, 30, {at, at + 60});
    }
    night.interference = {{{"watcher", "layout"}, 0.4},
                          {{"watcher", "raster"}, 2.5},
                          {{"proof", "layout"}, 0.3},
                          {{"proof", "raster"}, 2.0},
                          {{"layout", "raster"}, 0.6},
                          {{"layout", "layout"}, 0.3}};
    night.later_interference = night.interference;
    night.later_interference[{"watcher", "layout"}] = 1.2;
    night.later_interference[{"watcher", "raster"}] = 1.0;
    sort_by_arrival(night);
    return night;
}

} // namespace turmericswitch::bench
