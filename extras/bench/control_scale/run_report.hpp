#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_RUN_REPORT_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_RUN_REPORT_HPP

#include "control_scale/change_stream.hpp"
#include "control_scale/job_stream.hpp"
#include "control_scale/worker_fleet.hpp"

#include <vector>

namespace turmericswitch::bench
{

/// Components of a run whose counters are read.
struct run_components
{
    leader_client& control;
    rpc_fleet& rpc;
    worker_fleet& workers;
    job_stream& jobs;
    change_stream& changes;
};

/// Values of all counters at one time.
struct run_counters
{
    core::time_point taken_at;
    std::vector<process_sample> processes;
    rpc_totals sidecars;
    rpc_totals gateways;
    rpc_totals workers;
    rpc_totals jobs;
    rpc_totals changes;
    /// Total bytes that each control instance sent to the others.
    std::vector<double> peer_bytes;
    std::uint64_t starts = 0;
    std::uint64_t failed = 0;
};

run_counters read_counters(scale_options const& options,
                           run_components const& components);

/// Samples of the leader's event loop backlog, read from its metrics.
struct backlog_samples
{
    double sum = 0;
    double max = 0;
    std::size_t count = 0;
};

/// Prints the options and rates per second as `name=value` words, without
/// ending the line.
///
/// @param label First word of the line.
void print_rates(char const* label,
                 scale_options const& options,
                 run_counters const& from,
                 run_counters const& to);

/// Prints processor time, memory and replication bytes of each control
/// instance.
void print_processes(std::size_t leader,
                     run_counters const& from,
                     run_counters const& to);

/// Prints the latencies of the measurement window as `name=value` words.
void print_latencies(run_components const& components,
                     backlog_samples const& backlog);

} // namespace turmericswitch::bench

#endif
