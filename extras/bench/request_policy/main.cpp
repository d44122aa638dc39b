#include "request_simulation.hpp"

#include <cstdio>
#include <string>

namespace
{

namespace bench = turmericswitch::bench;
namespace routing = turmericswitch::routing;

constexpr std::uint64_t seeds[] = {11, 22, 33};

struct named_policy
{
    char const* name;
    routing::balancing_policy policy;
};

std::vector<named_policy> policies()
{
    return {{"random", routing::random_policy()},
            {"least outstanding", routing::least_outstanding_policy()},
            {"power of two", routing::power_of_two_policy()},
            {"power of two, latency", routing::power_of_two_latency_policy()},
            {"least expected", routing::least_expected_latency_policy()}};
}

// Runs all seeds and merges their results.
bench::simulation_result run_seeds(bench::simulation_options options)
{
    bench::simulation_result all;
    for (auto const seed : seeds)
    {
        options.seed = seed;
        auto one = bench::request_simulation(options).run();
        all.requests += one.requests;
        all.attempts += one.attempts;
        all.route_refusals += one.route_refusals;
        all.cross_region_bytes += one.cross_region_bytes;
        all.hedges += one.hedges;
        all.cancels += one.cancels;
        all.executions += one.executions;
        all.latencies.insert(
            all.latencies.end(), one.latencies.begin(), one.latencies.end());
    }
    return all;
}

double ratio(std::int64_t value, std::int64_t base)
{
    return static_cast<double>(value) / static_cast<double>(base);
}

void compare_balancing_policies()
{
    std::puts("choice: latency as a ratio to random at the same load");
    std::puts("load  policy                   p50    p99  p99.9  goodput");
    for (double const load : {0.5, 0.8, 0.95})
    {
        bench::simulation_result base;
        for (auto const& [name, policy] : policies())
        {
            bench::simulation_options options;
            options.policy = policy;
            options.load = load;
            options.locality = false;
            auto result = run_seeds(options);
            if (base.requests == 0)
            {
                base = result;
            }
            std::printf("%3.0f%%  %-22s %5.2f  %5.2f  %5.2f  %7.4f\n",
                        load * 100,
                        name,
                        ratio(result.quantile(0.5), base.quantile(0.5)),
                        ratio(result.quantile(0.99), base.quantile(0.99)),
                        ratio(result.quantile(0.999), base.quantile(0.999)),
                        result.goodput());
        }
    }
}

void compare_retries()
{
    std::puts("retry: goodput and attempts per request");
    std::puts("case           budget   goodput  attempts/request  p99 ratio");
    struct scenario
    {
        char const* name;
        double load;
        double failing;
    };
    for (auto const& [name, load, failing] : {scenario{"30% failing", 0.6, 0.3},
                                              {"30% at 90%", 0.9, 0.3},
                                              {"150% load", 1.5, 0.0}})
    {
        bench::simulation_result base;
        for (std::uint32_t const percent : {0U, 10U, 20U, 50U, 1000U})
        {
            bench::simulation_options options;
            options.policy = routing::power_of_two_latency_policy();
            options.load = load;
            options.failure_rate = failing;
            options.locality = false;
            options.duration = std::chrono::seconds(20);
            options.retry_percent = percent;
            options.flow.use_retry_budget = percent < 1000;
            auto result = run_seeds(options);
            if (base.requests == 0)
            {
                base = result;
            }
            auto const label =
                percent < 1000 ? std::to_string(percent) + "%" : "none";
            std::printf("%-13s  %6s   %7.4f  %16.3f  %9.2f\n",
                        name,
                        label.c_str(),
                        result.goodput(),
                        result.amplification(),
                        ratio(result.quantile(0.99), base.quantile(0.99)));
        }
    }
}

void compare_locality()
{
    std::puts("locality: latency and bytes between regions as ratios to none");
    std::puts("load  locality    p50    p99   bytes  goodput");
    for (double const load : {0.5, 0.8, 0.95})
    {
        bench::simulation_result base;
        for (bool const locality : {false, true})
        {
            bench::simulation_options options;
            options.policy = routing::power_of_two_latency_policy();
            options.load = load;
            options.two_regions = true;
            options.locality = locality;
            options.duration = std::chrono::seconds(20);
            auto result = run_seeds(options);
            if (base.requests == 0)
            {
                base = result;
            }
            std::printf("%3.0f%%  %-8s  %5.2f  %5.2f  %6.3f  %7.4f\n",
                        load * 100,
                        locality ? "yes" : "no",
                        ratio(result.quantile(0.5), base.quantile(0.5)),
                        ratio(result.quantile(0.99), base.quantile(0.99)),
                        static_cast<double>(result.cross_region_bytes) /
                            static_cast<double>(base.cross_region_bytes),
                        result.goodput());
        }
    }
}

bench::simulation_result run_route_change(bool zone_out,
                                          bool use_revision_hints,
                                          turmericswitch::core::duration pause)
{
    bench::simulation_options options;
    options.policy = routing::power_of_two_latency_policy();
    options.load = 0.5;
    options.flow.use_revision_hints = use_revision_hints;
    options.flow.stale_route_pause = pause;
    (zone_out ? options.zone_out_at : options.drain_at) =
        std::chrono::seconds(10);
    options.duration = std::chrono::seconds(15);
    return run_seeds(options);
}

void compare_revision_hints()
{
    std::puts("revision in refusals: attempts refused for a route change");
    std::puts("event     tags  pause ms  refusals   goodput  attempts/request");
    for (bool const zone_out : {true, false})
    {
        for (int const pause : {0, 100, 500})
        {
            for (bool const use_revision_hints : {false, true})
            {
                auto const result =
                    run_route_change(zone_out,
                                     use_revision_hints,
                                     std::chrono::milliseconds(pause));
                std::printf(
                    "%-8s  %-4s  %8d  %8llu   %7.5f  %16.4f\n",
                    zone_out ? "zone out" : "drain",
                    use_revision_hints ? "yes" : "no",
                    pause,
                    static_cast<unsigned long long>(result.route_refusals),
                    result.goodput(),
                    result.amplification());
            }
        }
    }
}

struct named_slow_attempt_policy
{
    char const* name;
    void (*apply)(bench::simulation_options&);
};

std::vector<named_slow_attempt_policy> slow_attempt_policies()
{
    using routing::slow_attempt_policy;
    return {
        {"wait",
         [](bench::simulation_options& options)
         { options.flow.slow_attempts = slow_attempt_policy::wait; }},
        {"timeout 500 ms",
         [](bench::simulation_options& options)
         { options.flow.slow_attempts = slow_attempt_policy::fixed_timeout; }},
        {"8 x smoothed",
         [](bench::simulation_options& options) {
             options.flow.slow_attempts = slow_attempt_policy::smoothed_timeout;
         }},
        {"hedge", [](bench::simulation_options& options) {
             options.flow.slow_attempts = slow_attempt_policy::hedge;
         }}};
}

struct fault_case
{
    char const* name;
    double load;
    bool stalls;
    bool partition;
    double failing;
};

constexpr fault_case fault_cases[] = {{"none", 0.6, false, false, 0},
                                      {"stalls", 0.6, true, false, 0},
                                      {"partition", 0.6, false, true, 0},
                                      {"30% failing", 0.6, false, false, 0.3},
                                      {"150% load", 1.5, false, false, 0}};

void compare_slow_attempt_policies()
{
    std::puts(
        "tail: latency as a ratio to waiting; a request without an answer "
        "counts as 2 s");
    std::puts("fault        slow attempt        p50    p99  p99.9  goodput  "
              "attempts/request  runs/request");
    for (auto const& fault : fault_cases)
    {
        bench::simulation_result base;
        for (auto const& [name, policy] : slow_attempt_policies())
        {
            bench::simulation_options options;
            options.policy = routing::least_expected_latency_policy();
            options.load = fault.load;
            options.locality = false;
            options.stalls = fault.stalls;
            options.silent_partition = fault.partition;
            options.failure_rate = fault.failing;
            policy(options);
            auto result = run_seeds(options);
            auto const goodput = result.goodput();
            result.add_unanswered(std::chrono::seconds(2));
            if (base.requests == 0)
            {
                base = result;
            }
            std::printf(
                "%-11s  %-16s  %5.2f  %5.2f  %5.2f  %7.4f  %16.3f  %12.3f\n",
                fault.name,
                name,
                ratio(result.quantile(0.5), base.quantile(0.5)),
                ratio(result.quantile(0.99), base.quantile(0.99)),
                ratio(result.quantile(0.999), base.quantile(0.999)),
                goodput,
                result.amplification(),
                static_cast<double>(result.executions) /
                    static_cast<double>(result.requests));
        }
    }
}

} // namespace

// Usage: turmericswitch-bench-request-policy [choice|retry|locality|tags|tail]
int main(int argc, char** argv)
{
    std::string const only = argc > 1 ? argv[1] : "";
    if (only.empty() || only == "choice")
    {
        compare_balancing_policies();
    }
    if (only.empty() || only == "retry")
    {
        compare_retries();
    }
    if (only.empty() || only == "locality")
    {
        compare_locality();
    }
    if (only.empty() || only == "tags")
    {
        compare_revision_hints();
    }
    if (only.empty() || only == "tail")
    {
        compare_slow_attempt_policies();
    }
    return 0;
}
