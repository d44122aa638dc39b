#include "control_scale/run_report.hpp"
#include "process/loop/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

// Loads running control processes through the real protocols and prints what
// they cost. It starts no process; scripts/measure-control does.

namespace
{

using namespace turmericswitch;
using namespace std::chrono_literals;

constexpr std::size_t io_threads = 2;
constexpr core::duration sample_pause = 100ms;
constexpr core::duration fill_limit = 60s;

/// Waits until all long tasks run and all gateways know all sidecars.
bool fill(bench::scale_options const& options, bench::run_parts const& parts)
{
    auto const tasks = options.workers * options.tasks;
    auto const until = process::event_loop::now() + fill_limit;
    while (process::event_loop::now() < until)
    {
        if (parts.workers.starts() >= tasks &&
            parts.rpc.known_backends() >=
                (options.gateways > 0 ? options.sidecars : 0))
        {
            return true;
        }
        std::this_thread::sleep_for(sample_pause);
    }
    std::fprintf(stderr,
                 "not filled: %llu of %zu tasks run, %zu backends known\n",
                 static_cast<unsigned long long>(parts.workers.starts()),
                 tasks,
                 parts.rpc.known_backends());
    return false;
}

void forget_samples(bench::run_parts const& parts)
{
    parts.workers.heartbeats.clear();
    parts.workers.lateness.clear();
    parts.workers.urgent.clear();
    parts.jobs.commits.clear();
    parts.changes.commits.clear();
    parts.changes.everywhere.clear();
}

void measure(bench::scale_options const& options, bench::run_parts const& parts)
{
    std::this_thread::sleep_for(options.warm_up);
    forget_samples(parts);
    auto const first = bench::read_counters(options, parts);
    auto last = first;
    bench::backlog_samples backlog;
    auto next_line = first.taken + 1s;
    while (process::event_loop::now() < first.taken + options.measured)
    {
        std::this_thread::sleep_for(sample_pause);
        double const queue =
            parts.control.metric(options.http[parts.control.leader()],
                                 "turmericswitch_control_loop_backlog");
        backlog.sum += queue;
        backlog.highest = std::max(backlog.highest, queue);
        ++backlog.count;
        if (options.per_second && process::event_loop::now() >= next_line)
        {
            auto const now = bench::read_counters(options, parts);
            bench::print_rates("second", options, last, now);
            bench::print_processes(parts.control.leader(), last, now);
            std::printf(" backlog=%.0f\n", queue);
            last = now;
            next_line += 1s;
        }
    }
    auto const end = bench::read_counters(options, parts);
    bench::print_rates("result", options, first, end);
    bench::print_processes(parts.control.leader(), first, end);
    bench::print_latencies(parts, backlog);
    std::printf(
        " snapshot_hold=%.4f",
        parts.control.metric(options.http[parts.control.leader()],
                             "turmericswitch_control_snapshot_hold_seconds"));
    std::printf(
        " permits=%llu leases=%llu\n",
        static_cast<unsigned long long>(parts.workers.permit_refusals()),
        static_cast<unsigned long long>(parts.workers.lease_ends()));
}

int run(bench::scale_options const& options)
{
    bench::leader_http control(options.http);
    transport::io_pool io(io_threads);
    bench::rpc_fleet rpc(options, io);
    bench::change_stream changes(options, control, rpc);
    if (!changes.prepare() || !bench::submit_ended(options, control))
    {
        std::fprintf(stderr, "control_scale: control is not ready\n");
        return 1;
    }
    bench::worker_fleet workers(options, control);
    // Jobs that fit no known worker are refused, so workers come first.
    std::this_thread::sleep_for(options.workers > 0 ? 2s : 0s);
    if (!bench::submit_background(options, control))
    {
        return 1;
    }
    bench::scale_options quiet = options;
    quiet.jobs_per_second = 0;
    {
        bench::job_stream none(quiet, control);
        if (!fill(options, {control, rpc, workers, none, changes}))
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
