#include "placement_bench/fleet_simulation.hpp"
#include "placement_bench/planner_cost.hpp"

#include <docopt/docopt.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace turmericswitch;

constexpr char usage[] =
    R"(Compares placement policies in virtual time, or measures their cost.

Usage:
  placement_bench [--seeds N] [--first SEED] [--gate X] [--only NAME] [--verbose]
  placement_bench --scale [--workers N]
  placement_bench --help | --version

Options:
  --seeds N     Number of seeds per user's mix [default: 5].
  --first SEED  First seed [default: 1].
  --gate X      Predicted service slowdown above which batch goes elsewhere.
  --only NAME   Only policies whose name has this in it.
  --verbose     One line per seed, and counts of decisions by reason.
  --scale       Tick cost from 30 to 660 workers.
  --workers N   Only this size, which gives its own memory.
  --help        Shows this text.
  --version     Shows the version.
)";

struct policy
{
    std::string name;
    std::function<placement::planner_options(std::uint64_t)> options;
};

struct workload_mix
{
    std::string name;
    std::function<bench::workload(std::uint64_t)> make;
};

std::vector<policy> policies(std::optional<double> gate)
{
    return {{"first fit",
             [](std::uint64_t) { return placement::first_fit_options(); }},
            {"random",
             [](std::uint64_t seed) {
                 return placement::random_feasible_options(
                     core::seeded_random(seed));
             }},
            {"planner",
             [gate](std::uint64_t)
             {
                 placement::planner_options options;
                 options.max_service_slowdown =
                     gate.value_or(options.max_service_slowdown);
                 return options;
             }}};
}

void print_header()
{
    std::printf("%-10s %-10s %6s %6s %6s %6s %6s %7s %7s %6s %6s %6s %6s %6s "
                "%6s %5s %5s\n",
                "mix",
                "policy",
                "p99",
                "mean",
                "urg99",
                "wait99",
                "done%",
                "zone_ch",
                "zone_kp",
                "evict",
                "kills",
                "lost",
                "down_h",
                "unfin",
                "thrott",
                "dbl",
                "seed");
}

void print_row(std::string const& mix_name,
               std::string const& policy_name,
               bench::fleet_result const& result,
               std::string const& seed)
{
    std::printf("%-10s %-10s %6.2f %6.3f %6.2f %6.1f %6.1f %7.1f %7.1f %6zu "
                "%6zu %6.1f %6.2f %6zu %6zu %5zu %5s\n",
                mix_name.c_str(),
                policy_name.c_str(),
                result.p99_slowdown,
                result.mean_slowdown,
                result.urgent_p99_slowdown,
                result.urgent_p99_wait_s,
                100 * result.batch_done_core_hours /
                    result.batch_due_core_hours,
                result.zone_out_progress,
                result.zone_out_retained_progress,
                result.evictions,
                result.memory_kills,
                result.lost_core_hours,
                result.service_down_hours,
                result.unfinished,
                result.throttles,
                result.duplicate_executions,
                seed.c_str());
}

bench::fleet_result mean_of(std::vector<bench::fleet_result> const& results)
{
    bench::fleet_result mean;
    auto const count = static_cast<double>(results.size());
    auto const average = [&](auto member)
    {
        double total = 0;
        for (auto const& one : results)
        {
            total += static_cast<double>(one.*member);
        }
        using value = std::remove_reference_t<decltype(mean.*member)>;
        mean.*member = static_cast<value>(total / count);
    };
    using result = bench::fleet_result;
    for (auto const member : {&result::p99_slowdown,
                              &result::mean_slowdown,
                              &result::urgent_p99_slowdown,
                              &result::urgent_p99_wait_s,
                              &result::batch_done_core_hours,
                              &result::batch_due_core_hours,
                              &result::zone_out_progress,
                              &result::zone_out_retained_progress,
                              &result::lost_core_hours,
                              &result::service_down_hours})
    {
        average(member);
    }
    for (auto const member : {&result::evictions,
                              &result::memory_kills,
                              &result::duplicate_executions,
                              &result::unfinished,
                              &result::throttles})
    {
        average(member);
    }
    return mean;
}

struct comparison_options
{
    std::uint64_t first = 1;
    std::uint64_t seeds = 5;
    bool verbose = false;
    /// Predicted service slowdown above which batch goes elsewhere.
    std::optional<double> gate;
    /// Only policies whose name contains this.
    std::string only;
};

void print_decision_counts(bench::fleet_result const& result)
{
    std::printf("  reserved: %.0f%% of processors, %.0f%% of memory\n",
                100 * result.mean_cpu_reserved,
                100 * result.mean_memory_reserved);
    for (auto const& [reason, count] : result.decision_counts)
    {
        std::printf("  %6zu %s\n", count, reason.c_str());
    }
}

std::vector<bench::fleet_result> run_seeds(workload_mix const& mix,
                                           policy const& policy,
                                           comparison_options const& options)
{
    std::vector<bench::fleet_result> results(options.seeds);
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < options.seeds; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const workload = mix.make(options.first + i);
                bench::fleet_simulation simulation(
                    workload, policy.options(options.first + i));
                results[i] = simulation.run();
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return results;
}

void compare(comparison_options const& options)
{
    std::vector<workload_mix> const mixes{
        {"routes", bench::route_planning_workload},
        {"labels", bench::label_printing_workload}};
    print_header();
    for (auto const& mix : mixes)
    {
        for (auto const& policy : policies(options.gate))
        {
            if (policy.name.find(options.only) == std::string::npos)
            {
                continue;
            }
            auto const results = run_seeds(mix, policy, options);
            for (std::size_t i = 0; options.verbose && i < results.size(); ++i)
            {
                auto const seed = std::to_string(options.first + i);
                print_row(mix.name, policy.name, results[i], seed);
                print_decision_counts(results[i]);
            }
            print_row(mix.name, policy.name, mean_of(results), "mean");
        }
    }
}

void print_cost_exponent(std::vector<bench::planner_cost> const& points)
{
    // Least-squares slope of log(cost) over log(workers).
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (auto const& point : points)
    {
        double const x = std::log(static_cast<double>(point.workers));
        double const y = std::log(point.us_per_start);
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    double const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    std::printf("cost per start grows with workers to the power %.2f\n", slope);
}

void measure_scaling(std::vector<std::size_t> const& sizes)
{
    std::printf("%7s %8s %8s %8s %9s %9s %8s %8s %8s %7s\n",
                "workers",
                "starts/s",
                "p50_ms",
                "p99_ms",
                "us/start",
                "urg99_tk",
                "core%",
                "mem_mb",
                "running",
                "queued");
    std::vector<bench::planner_cost> points;
    for (auto const workers : sizes)
    {
        auto const point = bench::measure_planner_cost(workers, 610);
        points.push_back(point);
        std::printf("%7zu %8.0f %8.2f %8.2f %9.1f %9.0f %8.1f %8.1f %8zu "
                    "%7zu\n",
                    point.workers,
                    point.starts_per_s,
                    point.tick_p50_ms,
                    point.tick_p99_ms,
                    point.us_per_start,
                    point.urgent_p99_ticks,
                    100 * point.core_utilization,
                    point.memory_mb,
                    point.running,
                    point.queued);
    }
    // Excludes fleet sizes that can't sustain the load, since their cost per
    // start is not representative.
    std::erase_if(points,
                  [](bench::planner_cost const& point)
                  { return point.queued > 0; });
    if (points.size() > 1)
    {
        print_cost_exponent(points);
    }
}

} // namespace

int main(int argc, char** argv)
{
    auto const arguments =
        docopt::docopt(usage,
                       {argv + 1, argv + argc},
                       true,
                       "placement_bench " TURMERICSWITCH_VERSION);
    if (arguments.at("--scale").asBool())
    {
        std::vector<std::size_t> sizes{30, 60, 120, 240, 480, 660};
        if (auto const& one = arguments.at("--workers"))
        {
            sizes = {static_cast<std::size_t>(one.asLong())};
        }
        measure_scaling(sizes);
        return 0;
    }
    auto const number = [&](char const* name)
    { return static_cast<std::uint64_t>(arguments.at(name).asLong()); };
    comparison_options options;
    options.first = number("--first");
    options.seeds = number("--seeds");
    options.verbose = arguments.at("--verbose").asBool();
    if (auto const& gate = arguments.at("--gate"))
    {
        options.gate = std::stod(gate.asString());
    }
    if (auto const& only = arguments.at("--only"))
    {
        options.only = only.asString();
    }
    compare(options);
    return 0;
}
