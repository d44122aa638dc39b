#include "control_scale/run_report.hpp"
#include "process/loop/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

// Puts load on running control processes through the production protocols and
// prints their resource use and latencies. scripts/measure-control starts the
// processes.

namespace
{

using namespace turmericswitch;
using namespace std::chrono_literals;

constexpr std::size_t io_threads = 2;
constexpr core::duration sample_interval = 100ms;
constexpr core::duration fill_timeout = 60s;

/// Waits until all long-running tasks have started and all gateways know all
/// sidecars.
///
/// @return False after `fill_timeout`.
bool wait_until_filled(bench::scale_options const& options,
                       bench::run_components const& components)
{
    auto const tasks = options.workers * options.tasks_per_worker;
    auto const deadline = process::event_loop::now() + fill_timeout;
    while (process::event_loop::now() < deadline)
    {
        if (components.workers.starts() >= tasks &&
            components.rpc.known_backends() >=
                (options.gateways > 0 ? options.sidecars : 0))
        {
            return true;
        }
        std::this_thread::sleep_for(sample_interval);
    }
    std::fprintf(
        stderr,
        "timed out: %llu of %zu tasks started, %zu backend servers known\n",
        static_cast<unsigned long long>(components.workers.starts()),
        tasks,
        components.rpc.known_backends());
    return false;
}

void clear_samples(bench::run_components const& components)
{
    components.workers.heartbeat_latencies.clear();
    components.workers.heartbeat_delays.clear();
    components.workers.urgent_start_latencies.clear();
    components.jobs.submit_latencies.clear();
    components.changes.commit_latencies.clear();
    components.changes.propagation_latencies.clear();
}

void measure(bench::scale_options const& options,
             bench::run_components const& components)
{
    std::this_thread::sleep_for(options.warm_up);
    clear_samples(components);
    auto const first = bench::read_counters(options, components);
    auto last = first;
    bench::backlog_samples backlog;
    auto next_line = first.taken_at + 1s;
    while (process::event_loop::now() <
           first.taken_at + options.measured_duration)
    {
        std::this_thread::sleep_for(sample_interval);
        double const queue =
            components.control.metric(options.http[components.control.leader()],
                                      "turmericswitch_control_loop_backlog");
        backlog.sum += queue;
        backlog.max = std::max(backlog.max, queue);
        ++backlog.count;
        if (options.per_second && process::event_loop::now() >= next_line)
        {
            auto const now = bench::read_counters(options, components);
            bench::print_rates("second", options, last, now);
            bench::print_processes(components.control.leader(), last, now);
            std::printf(" backlog=%.0f\n", queue);
            last = now;
            next_line += 1s;
        }
    }
    auto const end = bench::read_counters(options, components);
    bench::print_rates("result", options, first, end);
    bench::print_processes(components.control.leader(), first, end);
    bench::print_latencies(components, backlog);
    std::printf(" snapshot_hold=%.4f",
                components.control.metric(
                    options.http[components.control.leader()],
                    "turmericswitch_control_snapshot_hold_seconds"));
    std::printf(
        " permits=%llu leases=%llu\n",
        static_cast<unsigned long long>(components.workers.permit_refusals()),
        static_cast<unsigned long long>(components.workers.lease_ends()));
}

int run(bench::scale_options const& options)
{
    bench::leader_client control(options.http);
    transport::io_pool io(io_threads);
    bench::rpc_fleet rpc(options, io);
    bench::change_stream changes(options, control, rpc);
    if (!changes.prepare() || !bench::submit_ended_jobs(options, control))
    {
        std::fprintf(stderr, "control_scale: control is not ready\n");
        return 1;
    }
    bench::worker_fleet workers(options, control);
    // Workers register first, because control refuses jobs that fit no known
    // worker.
    std::this_thread::sleep_for(options.workers > 0 ? 2s : 0s);
    if (!bench::submit_long_running(options, control))
    {
        return 1;
    }
    bench::scale_options idle_options = options;
    idle_options.jobs_per_second = 0;
    {
        bench::job_stream idle_jobs(idle_options, control);
        if (!wait_until_filled(options,
                               {control, rpc, workers, idle_jobs, changes}))
        {
            return 1;
        }
    }
    bench::job_stream jobs(options, control);
    changes.start();
    measure(options, {control, rpc, workers, jobs, changes});
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run(
        turmericswitch::bench::parse_scale_options({argv + 1, argv + argc}));
}
