#include "dispatch_cost/simulated_fleet.hpp"

#include <docopt/docopt.h>

#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace turmericswitch;

constexpr char usage[] =
    R"(Measures the processor time of the leader's decisions on workflows.

Usage:
  dispatch_cost [--workers LIST] [--seconds N] [--warm-up N] [--seed N]
                [--placement]
                [--overload]
  dispatch_cost --help | --version

Options:
  --workers LIST  Sizes of the fleet, separated by commas
                  [default: 60,240,660].
  --seconds N     Simulated seconds that are measured [default: 20].
  --warm-up N     Simulated seconds before that [default: 10].
  --seed N        Seed of run times and images [default: 1].
  --placement     Enables the optional features of placement.
  --overload      Orders, paces and evicts as in overload.
  --help          Shows this text.
  --version       Shows the version.
)";

std::vector<std::size_t> parse_list(std::string const& text)
{
    std::vector<std::size_t> values;
    for (std::size_t begin = 0; begin < text.size();)
    {
        auto const end = std::min(text.find(',', begin), text.size());
        values.push_back(std::stoul(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return values;
}

void print_events(char const* name, bench::event_cost const& cost)
{
    std::printf(
        "  %-8s %8lu  %9.1f ms  %8.2f us each\n",
        name,
        static_cast<unsigned long>(cost.events),
        cost.cpu_ms,
        cost.cpu_ms * 1e3 /
            static_cast<double>(std::max<std::uint64_t>(cost.events, 1)));
}

} // namespace

int main(int argc, char** argv)
{
    auto const arguments = docopt::docopt(
        usage, {argv + 1, argv + argc}, true, TURMERICSWITCH_VERSION);
    auto const seconds =
        std::chrono::seconds(arguments.at("--seconds").asLong());
    auto const warm_up =
        std::chrono::seconds(arguments.at("--warm-up").asLong());
    auto const seed =
        static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    bool const has_placement = arguments.at("--placement").asBool();
    bool const has_overload = arguments.at("--overload").asBool();
    workflow::dispatch_options options;
    options.placement.packing = has_placement;
    options.placement.speed = has_placement;
    options.placement.moves = has_placement;
    options.overload.order = has_overload;
    options.overload.pace = has_overload;
    options.overload.preemption = has_overload;
    double smallest = 0;
    for (auto const workers : parse_list(arguments.at("--workers").asString()))
    {
        bench::simulated_fleet fleet(workers, seed, options);
        auto const cost = fleet.run(warm_up, seconds);
        auto const measured_s = static_cast<double>(seconds.count());
        auto const per_run =
            cost.total_ms() /
            static_cast<double>(std::max<std::uint64_t>(cost.ended_runs, 1));
        smallest = smallest == 0 ? per_run : smallest;
        std::printf("%zu workers: %.0f ends/s, %.4f of a core, %.4f ms per "
                    "run, %.2f times the first size\n",
                    workers,
                    static_cast<double>(cost.ended_runs) / measured_s,
                    cost.total_ms() / 1e3 / measured_s,
                    per_run,
                    per_run / smallest);
        print_events("reports", cost.reports);
        print_events("plans", cost.plans);
        print_events("commits", cost.commits);
        print_events("orders", cost.orders);
    }
    return 0;
}
