#ifndef TURMERICSWITCH_LOAD_SCHEDULE_SCHEDULE_HPP
#define TURMERICSWITCH_LOAD_SCHEDULE_SCHEDULE_HPP

#include "core/hooks/random_source.hpp"
#include "load/scenario/scenario.hpp"

#include <vector>

namespace turmericswitch::load
{

enum class request_kind
{
    /// GET.
    read,
    /// POST without an Idempotency-Key.
    write,
    /// POST with an Idempotency-Key.
    keyed_write,
};

/// One send of a request at a fixed time.
struct planned_send
{
    /// From the start of the run.
    core::duration due{};
    /// Index of the request; a resend has the index of the first send.
    std::size_t request = 0;
    request_kind kind = request_kind::read;
    /// Index in the scenario's gateways.
    std::size_t gateway = 0;
    /// Work asked of the backend server, in microseconds.
    std::int64_t work_us = 0;
};

/// @param rate Arrivals per second; 0 gives no times.
/// @param length Times are less than this.
/// @param limit Maximum number of times.
/// @return Arrival times of a Poisson process, ascending.
std::vector<core::duration> poisson_times(core::random_source const& random,
                                          double rate,
                                          core::duration length,
                                          std::size_t limit);

/// @return All sends of the scenario, ordered by due time. The same seed gives
/// the same sends.
std::vector<planned_send> plan_sends(scenario const& settings);

} // namespace turmericswitch::load

#endif
