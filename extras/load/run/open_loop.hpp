#ifndef TURMERICSWITCH_LOAD_RUN_OPEN_LOOP_HPP
#define TURMERICSWITCH_LOAD_RUN_OPEN_LOOP_HPP

#include "core/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace turmericswitch::load
{

/// Delays of sends, relative to the schedule, that the load generator itself
/// caused.
struct send_delays
{
    /// Sends that were due before a thread was free.
    std::size_t no_free_thread = 0;
    /// Sends whose thread was woken more than 1 ms late.
    std::size_t late_wakeups = 0;
    /// Maximum delay of a send, in milliseconds.
    double max_delay_ms = 0;
};

/// Called on a pool thread for send `index`, whose scheduled time is `due`.
using send_function = std::function<void(
    std::size_t index, std::chrono::steady_clock::time_point due)>;

/// Runs an open-loop load: calls `send` for every scheduled time, never early,
/// on a pool of threads. Does not wait for earlier calls as long as a thread is
/// free. Returns when all calls have ended.
///
/// @param times Scheduled times since the start, ascending.
/// @param threads At least 1.
send_delays run_open_loop(std::vector<core::duration> const& times,
                          std::size_t threads,
                          send_function const& send);

} // namespace turmericswitch::load

#endif
