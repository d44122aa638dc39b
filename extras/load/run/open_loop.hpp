#ifndef TURMERICSWITCH_LOAD_RUN_OPEN_LOOP_HPP
#define TURMERICSWITCH_LOAD_RUN_OPEN_LOOP_HPP

#include "core/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace turmericswitch::load
{

/// Shows how far the load generator itself kept to its schedule.
struct punctuality
{
    /// Sends whose time had passed before a thread was free.
    std::size_t late_for_threads = 0;
    /// Sends whose thread was woken more than 1 ms late.
    std::size_t late_wakeups = 0;
    /// Largest delay of a send, in milliseconds.
    double worst_delay_ms = 0;
};

/// Called on one of the threads for send `index`; `due` is its planned time.
using send_function = std::function<void(
    std::size_t index, std::chrono::steady_clock::time_point due)>;

/// Calls `send` for every time, not earlier than that, on a pool of threads,
/// and returns when all calls have ended.
///
/// @param times From the start, ascending.
/// @param threads At least 1.
punctuality run_open_loop(std::vector<core::duration> const& times,
                          std::size_t threads,
                          send_function const& send);

} // namespace turmericswitch::load

#endif
