#include "control_scale/run_report.hpp"

#include "process/loop/event_loop.hpp"

#include <cstdio>

namespace turmericswitch::bench
{

namespace
{

rpc_totals totals_of(role_traffic const& traffic)
{
    return {traffic.messages, traffic.sent_bytes, traffic.received_bytes};
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
                rate(from.sent_bytes, to.sent_bytes),
                role,
                rate(from.received_bytes, to.received_bytes));
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
                to.resident_mib,
                name.c_str(),
                to.peak_mib);
}

} // namespace

run_counters read_counters(scale_options const& options,
                           run_components const& components)
{
    run_counters counters;
    counters.taken_at = process::event_loop::now();
    for (auto const pid : options.pids)
    {
        counters.processes.push_back(sample_process(pid));
    }
    counters.sidecars = components.rpc.sidecars();
    counters.gateways = components.rpc.gateways();
    counters.workers = totals_of(components.workers.traffic());
    counters.jobs = totals_of(components.jobs.traffic());
    counters.changes = totals_of(components.changes.traffic);
    counters.starts = components.workers.starts();
    counters.failed =
        components.workers.traffic().failed + components.jobs.traffic().failed;
    for (auto const& instance : options.http)
    {
        counters.peer_bytes.push_back(components.control.metric(
            instance, "turmericswitch_control_peer_bytes_total"));
    }
    return counters;
}

void print_rates(char const* label,
                 scale_options const& options,
                 run_counters const& from,
                 run_counters const& to)
{
    double const seconds =
        std::chrono::duration<double>(to.taken_at - from.taken_at).count();
    std::printf("%s workers=%zu tasks=%zu sidecars=%zu gateways=%zu jobs=%g "
                "changes=%g ended=%zu payload=%zu teams=%zu seconds=%.1f",
                label,
                options.workers,
                options.tasks_per_worker,
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
        std::chrono::duration<double>(to.taken_at - from.taken_at).count();
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

void print_latencies(run_components const& components,
                     backlog_samples const& backlog)
{
    print_samples("heartbeat", components.workers.heartbeat_latencies);
    print_samples("late", components.workers.heartbeat_delays);
    print_samples("urgent", components.workers.urgent_start_latencies);
    print_samples("submit", components.jobs.submit_latencies);
    print_samples("apply", components.changes.commit_latencies);
    print_samples("everywhere", components.changes.propagation_latencies);
    std::printf(" backlog_mean=%.1f backlog_max=%.0f",
                backlog.count > 0
                    ? backlog.sum / static_cast<double>(backlog.count)
                    : 0,
                backlog.max);
}

} // namespace turmericswitch::bench
