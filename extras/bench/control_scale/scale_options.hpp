#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_SCALE_OPTIONS_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_SCALE_OPTIONS_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// What one run simulates and observes.
struct scale_options
{
    std::vector<core::endpoint> rpc;
    std::vector<core::endpoint> http;
    /// Control processes whose CPU and memory are read, in the order of
    /// `http`.
    std::vector<long> pids;
    std::size_t workers = 0;
    /// Long tasks held by each worker.
    std::size_t tasks = 0;
    std::size_t sidecars = 0;
    std::size_t gateways = 0;
    double jobs_per_second = 0;
    double changes_per_second = 0;
    /// Jobs in one submission of the stream.
    std::size_t batch = 1;
    /// Run time of each job of the stream.
    core::duration run_time{};
    /// Jobs that are submitted and cancelled before the measurement, so that
    /// control keeps them as ended.
    std::size_t ended_jobs = 0;
    std::size_t payload_bytes = 0;
    /// Quota rules in the configuration; each team has one.
    std::size_t teams = 0;
    /// Heartbeats of a worker per usage report; 0 sends none.
    std::size_t usage_every = 0;
    core::duration warm_up{};
    core::duration measured{};
    bool per_second = false;
    /// Each worker keeps a connection of its own open.
    bool own_connections = false;
};

/// Reads the command line; exits with the usage text on an error.
scale_options parse_scale_options(std::vector<std::string> const& words);

} // namespace turmericswitch::bench

#endif
