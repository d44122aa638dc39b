#ifndef TURMERICSWITCH_EXTRAS_BENCH_WORKLOAD_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_WORKLOAD_HPP

#include "core/hooks/random_source.hpp"
#include "placement/types/events.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::bench
{

/// What a job declares, and what it actually uses.
struct bench_job
{
    placement::queued_job declared;
    double arrival_s = 0;
    /// Actual processor use while running alone, and actual peak memory.
    double cores = 1;
    double memory_gb = 1;
    /// Seconds of work without interference; practically endless for services.
    double work_s = 0;

    bool is_service() const
    {
        return declared.priority == core::priority_class::service;
    }
};

/// Actual interference: excess slowdown of tasks of the first kind when tasks
/// of the second kind use all processors of a worker.
using interference_map = std::map<std::pair<std::string, std::string>, double>;

/// Jobs of one user during one night.
struct workload
{
    std::vector<bench_job> jobs;
    interference_map interference;
    /// Interference in the second half of the night, after a shift.
    interference_map later_interference;
};

/// Duration of the simulated night, in seconds.
inline constexpr double night_duration_s = 10 * 3600;
/// Morning deadline of overnight batch, in seconds from the start of the night.
inline constexpr double morning_deadline_s = night_duration_s;

/// @return Overnight batch with a morning deadline next to an online service.
workload route_planning_workload(std::uint64_t seed);

/// @return Short urgent proofs, heavy batch layouts and long-running watchers.
workload label_printing_workload(std::uint64_t seed);

} // namespace turmericswitch::bench

#endif
