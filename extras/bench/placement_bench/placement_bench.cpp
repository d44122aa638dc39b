#include "placement_bench/scale_run.hpp"
#include "placement_bench/virtual_fleet.hpp"

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

struct mix
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
               bench::night_result const& night,
               std::string const& seed)
{
    std::printf("%-10s %-10s %6.2f %6.3f %6.2f %6.1f %6.1f %7.1f %7.1f %6zu "
                "%6zu %6.1f %6.2f %6zu %6zu %5zu %5s\n",
                mix_name.c_str(),
                policy_name.c_str(),
                night.p99_slowdown,
                night.mean_slowdown,
                night.urgent_p99_slowdown,
                night.urgent_p99_wait_s,
                100 * night.batch_done / night.batch_due,
                night.done_around_zone_out,
                night.kept_around_zone_out,
                night.evictions,
                night.memory_kills,
                night.lost_work,
                night.service_down_hours,
                night.unfinished,
                night.throttles,
                night.doubled,
                seed.c_str());
}

bench::night_result mean_of(std::vector<bench::night_result> const& nights)
{
    bench::night_result sum;
    auto const count = static_cast<double>(nights.size());
    auto const average = [&](auto member)
    {
        double total = 0;
        for (auto const& night : nights)
        {
            total += static_cast<double>(night.*member);
        }
        using value = std::remove_reference_t<decltype(sum.*member)>;
        sum.*member = static_cast<value>(total / count);
    };
    using result = bench::night_result;
    for (auto const member : {&result::p99_slowdown,
                              &result::mean_slowdown,
                              &result::urgent_p99_slowdown,
                              &result::urgent_p99_wait_s,
                              &result::batch_done,
                              &result::batch_due,
                              &result::done_around_zone_out,
                              &result::kept_around_zone_out,
                              &result::lost_work,
                              &result::service_down_hours})
    {
        average(member);
    }
    for (auto const member : {&result::evictions,
                              &result::memory_kills,
                              &result::doubled,
                              &result::unfinished,
                              &result::throttles})
    {
        average(member);
    }
    return sum;
}

struct comparison
{
    std::uint64_t first = 1;
    std::uint64_t seeds = 5;
    bool verbose = false;
    std::optional<double> gate;
    std::string only;
};

void print_reasons(bench::night_result const& night)
{
    std::printf("  reserved: %.0f%% of processors, %.0f%% of memory\n",
                100 * night.mean_cpu_reserved,
                100 * night.mean_memory_reserved);
    for (auto const& [reason, count] : night.reasons)
    {
        std::printf("  %6zu %s\n", count, reason.c_str());
    }
}

std::vector<bench::night_result>
run_nights(mix const& each, policy const& way, comparison const& wanted)
{
    std::vector<bench::night_result> nights(wanted.seeds);
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < wanted.seeds; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const night = each.make(wanted.first + i);
                bench::virtual_fleet fleet(night,
                                           way.options(wanted.first + i));
                nights[i] = fleet.run();
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return nights;
}

void compare(comparison const& wanted)
{
    std::vector<mix> const mixes{{"routes", bench::route_planning_night},
                                 {"labels", bench::label_printing_night}};
    print_header();
    for (auto const& each : mixes)
    {
        for (auto const& way : policies(wanted.gate))
        {
            if (way.name.find(wanted.only) == std::string::npos)
            {
                continue;
            }
            auto const nights = run_nights(each, way, wanted);
            for (std::size_t i = 0; wanted.verbose && i < nights.size(); ++i)
            {
                auto const seed = std::to_string(wanted.first + i);
                print_row(each.name, way.name, nights[i], seed);
                print_reasons(nights[i]);
            }
            print_row(each.name, way.name, mean_of(nights), "mean");
        }
    }
}

void print_exponent(std::vector<bench::scale_result> const& points)
{
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

void measure_scale(std::vector<std::size_t> const& sizes)
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
    std::vector<bench::scale_result> points;
    for (auto const workers : sizes)
    {
        auto const point = bench::run_scale(workers, 610);
        points.push_back(point);
        std::printf("%7zu %8.0f %8.2f %8.2f %9.1f %9.0f %8.1f %8.1f %8zu "
                    "%7zu\n",
                    point.workers,
                    point.starts,
                    point.tick_p50_ms,
                    point.tick_p99_ms,
                    point.us_per_start,
                    point.urgent_p99_ticks,
                    100 * point.core_share,
                    point.memory_mb,
                    point.running,
                    point.queued);
    }
    // A size that can't hold the load says nothing about the cost per start.
    std::erase_if(points,
                  [](bench::scale_result const& point)
                  { return point.queued > 0; });
    if (points.size() > 1)
    {
        print_exponent(points);
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
        measure_scale(sizes);
        return 0;
    }
    auto const number = [&](char const* name)
    { return static_cast<std::uint64_t>(arguments.at(name).asLong()); };
    comparison wanted;
    wanted.first = number("--first");
    wanted.seeds = number("--seeds");
    wanted.verbose = arguments.at("--verbose").asBool();
    if (auto const& gate = arguments.at("--gate"))
    {
        wanted.gate = std::stod(gate.asString());
    }
    if (auto const& only = arguments.at("--only"))
    {
        wanted.only = only.asString();
    }
    compare(wanted);
    return 0;
}
