#include "control_scale/run_report.hpp"

#include "process/loop/event_loop.hpp"

#include <cstdio>

namespace turmericswitch::bench
{

namespace
{

rpc_totals totals_of(role_traffic const& traffic)
{
    return {traffic.messages, traffic.sent, traffic.received};
}

void print_role(char const* role,
                rpc_totals const& from,
                rpc_totals const& to,
                double seconds)
{
    if (to.messages == 0)
    {
        return;
    }
    auto const rate = [seconds](std::uint64_t a, std::uint64_t b)
    { return static_cast<double>(b - a) / seconds; };
    std::printf(" %s_msgs=%.1f %s_sent=%.0f %s_received=%.0f",
                role,
                rate(from.messages, to.messages),
                role,
                rate(from.sent, to.sent),
                role,
                rate(from.received, to.received));
}

void print_samples(char const* name, latency_samples const& samples)
{
    if (samples.size() > 0)
    {
        std::printf(" %s_n=%zu %s_p50=%.1f %s_p99=%.1f %s_max=%.1f",
                    name,
                    samples.size(),
                    name,
                    samples.quantile_ms(0.5),
                    name,
                    samples.quantile_ms(0.99),
                    name,
                    samples.quantile_ms(1));
    }
}

void print_process(std::string const& name,
                   process_sample const& from,
                   process_sample const& to,
                   double seconds)
{
    std::printf(" %s_cpu=%.4f %s_rss=%.1f %s_peak=%.1f",
                name.c_str(),
                (to.cpu_seconds - from.cpu_seconds) / seconds,
                name.c_str(),
                to.resident_mb,
                name.c_str(),
                to.peak_mb);
}

} // namespace

run_counters read_counters(scale_options const& options, run_parts const& parts)
{
    run_counters read;
    read.taken = process::event_loop::now();
    for (auto const pid : options.pids)
    {
        read.processes.push_back(sample_process(pid));
    }
    read.sidecars = parts.rpc.sidecars();
    read.gateways = parts.rpc.gateways();
    read.workers = totals_of(parts.workers.traffic());
    read.jobs = totals_of(parts.jobs.traffic());
    read.changes = totals_of(parts.changes.traffic);
    read.starts = parts.workers.starts();
    read.failed = parts.workers.traffic().failed + parts.jobs.traffic().failed;
    for (auto const& instance : options.http)
    {
        read.peer_bytes.push_back(parts.control.metric(
            instance, "turmericswitch_control_peer_bytes_total"));
    }
    return read;
}

void print_rates(char const* word,
                 scale_options const& options,
                 run_counters const& from,
                 run_counters const& to)
{
    double const seconds =
        std::chrono::duration<double>(to.taken - from.taken).count();
    std::printf("%s workers=%zu tasks=%zu sidecars=%zu gateways=%zu jobs=%g "
                "changes=%g ended=%zu payload=%zu teams=%zu seconds=%.1f",
                word,
                options.workers,
                options.tasks,
                options.sidecars,
                options.gateways,
                options.jobs_per_second,
                options.changes_per_second,
                options.ended_jobs,
                options.payload_bytes,
                options.teams,
                seconds);
    print_role("worker", from.workers, to.workers, seconds);
    print_role("sidecar", from.sidecars, to.sidecars, seconds);
    print_role("gateway", from.gateways, to.gateways, seconds);
    print_role("job", from.jobs, to.jobs, seconds);
    print_role("change", from.changes, to.changes, seconds);
    std::printf(" starts=%.1f failed=%.2f",
                static_cast<double>(to.starts - from.starts) / seconds,
                static_cast<double>(to.failed - from.failed) / seconds);
}

void print_processes(std::size_t leader,
                     run_counters const& from,
                     run_counters const& to)
{
    double const seconds =
        std::chrono::duration<double>(to.taken - from.taken).count();
    std::size_t followers = 0;
    for (std::size_t i = 0; i < to.processes.size(); ++i)
    {
        auto const name = i == leader
                              ? std::string("leader")
                              : "follower" + std::to_string(++followers);
        print_process(name, from.processes[i], to.processes[i], seconds);
        std::printf(" %s_peer=%.0f",
                    name.c_str(),
                    (to.peer_bytes[i] - from.peer_bytes[i]) / seconds);
    }
}

void print_latencies(run_parts const& parts, backlog_samples const& backlog)
{
    print_samples("heartbeat", parts.workers.heartbeats);
    print_samples("late", parts.workers.lateness);
    print_samples("urgent", parts.workers.urgent);
    print_samples("submit", parts.jobs.commits);
    print_samples("apply", parts.changes.commits);
    print_samples("everywhere", parts.changes.everywhere);
    std::printf(" backlog_mean=%.1f backlog_max=%.0f",
                backlog.count > 0
                    ? backlog.sum / static_cast<double>(backlog.count)
                    : 0,
                backlog.highest);
}

} // namespace turmericswitch::bench
