#ifndef TURMERICSWITCH_LOAD_SCHEDULE_SCHEDULE_HPP
#define TURMERICSWITCH_LOAD_SCHEDULE_SCHEDULE_HPP

#include "core/hooks/random_source.hpp"
#include "load/scenario/scenario.hpp"

#include <vector>

namespace turmericswitch::load
{

enum class request_kind
{
    read,
    write,
    keyed_write,
};

/// One send of a request at a fixed time.
struct planned_send
{
    /// From the start of the run.
    core::duration due{};
    /// Number of the request; a resend has the number of the first send.
    std::size_t request = 0;
    request_kind kind = request_kind::read;
    std::size_t gateway = 0;
    std::int64_t work_us = 0;
};

/// @param rate Arrivals per second; 0 gives no times.
/// @param length Times are below this.
/// @param limit Largest number of times.
/// @return Arrivals of a Poisson process, ascending.
std::vector<core::duration> poisson_times(core::random_source const& random,
                                          double rate,
                                          core::duration length,
                                          std::size_t limit);

/// @return All sends of the scenario by due time; the same for the same seed.
std::vector<planned_send> plan_sends(scenario const& settings);

} // namespace turmericswitch::load

#endif
