#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_SCALE_OPTIONS_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_SCALE_OPTIONS_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// Command-line options of one run.
struct scale_options
{
    std::vector<core::endpoint> rpc;
    std::vector<core::endpoint> http;
    /// Control processes whose CPU and memory are read, in the order of
    /// `http`.
    std::vector<long> pids;
    std::size_t workers = 0;
    /// Long-running tasks on each worker.
    std::size_t tasks_per_worker = 0;
    std::size_t sidecars = 0;
    std::size_t gateways = 0;
    double jobs_per_second = 0;
    double changes_per_second = 0;
    /// Urgent jobs per submission.
    std::size_t batch = 1;
    /// Run time of each urgent job.
    core::duration run_time{};
    /// Jobs submitted and cancelled before the measurement, so that control
    /// keeps them as ended.
    std::size_t ended_jobs = 0;
    std::size_t payload_bytes = 0;
    /// Number of teams; the configuration has a quota rule for each.
    std::size_t teams = 0;
    /// Heartbeats of a worker per usage report; 0 sends none.
    std::size_t heartbeats_per_usage_report = 0;
    core::duration warm_up{};
    core::duration measured_duration{};
    /// Prints a line for every second.
    bool per_second = false;
    /// Keeps a separate connection open for each worker.
    bool own_connections = false;
};

/// Reads the command line; exits with the usage text on an error.
scale_options parse_scale_options(std::vector<std::string> const& words);

} // namespace turmericswitch::bench

#endif
