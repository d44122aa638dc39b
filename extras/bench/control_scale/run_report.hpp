#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_RUN_REPORT_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_RUN_REPORT_HPP

#include "control_scale/change_stream.hpp"
#include "control_scale/job_stream.hpp"
#include "control_scale/worker_fleet.hpp"

#include <vector>

namespace turmericswitch::bench
{

/// The parts of a run whose counters are read.
struct run_parts
{
    leader_http& control;
    rpc_fleet& rpc;
    worker_fleet& workers;
    job_stream& jobs;
    change_stream& changes;
};

/// Counters at one moment.
struct run_counters
{
    core::time_point taken;
    std::vector<process_sample> processes;
    rpc_totals sidecars;
    rpc_totals gateways;
    rpc_totals workers;
    rpc_totals jobs;
    rpc_totals changes;
    /// Bytes that each control instance sent to the others.
    std::vector<double> peer_bytes;
    std::uint64_t starts = 0;
    std::uint64_t failed = 0;
};

run_counters read_counters(scale_options const& options,
                           run_parts const& parts);

/// Queue of the leader's event loop, sampled through its metrics.
struct backlog_samples
{
    double sum = 0;
    double highest = 0;
    std::size_t count = 0;
};

/// Prints one line of `name=value` words with rates per second.
void print_rates(char const* word,
                 scale_options const& options,
                 run_counters const& from,
                 run_counters const& to);

/// Prints CPU, memory and replication bytes of each control instance.
void print_processes(std::size_t leader,
                     run_counters const& from,
                     run_counters const& to);

/// Prints the latencies of the window as one line of words.
void print_latencies(run_parts const& parts, backlog_samples const& backlog);

} // namespace turmericswitch::bench

#endif
