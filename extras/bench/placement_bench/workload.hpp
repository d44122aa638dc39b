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

/// What a job declares, and what it really needs.
struct bench_job
{
    placement::queued_job declared;
    double arrives_s = 0;
    /// True processors while running alone, and true peak memory.
    double cores = 1;
    double memory_gb = 1;
    /// Seconds of work when nothing slows it down; endless for services.
    double work_s = 0;

    bool is_service() const
    {
        return declared.priority == core::priority_class::service;
    }
};

/// Truth about interference: excess slowdown of the first kind when the
/// second fills a worker.
using pair_effects = std::map<std::pair<std::string, std::string>, double>;

/// One night of one user.
struct workload
{
    std::vector<bench_job> jobs;
    pair_effects effects;
    /// The same from the middle of the night on: interference shifts.
    pair_effects later_effects;
};

inline constexpr double night_s = 10 * 3600;
/// Morning deadline of overnight batch, in seconds from the evening start.
inline constexpr double morning_s = night_s;

/// Overnight batch with a morning deadline next to an online service.
workload route_planning_night(std::uint64_t seed);

/// Short urgent proofs, heavy batch layouts and long-running watchers.
workload label_printing_night(std::uint64_t seed);

} // namespace turmericswitch::bench

#endif
