#include "load/run/open_loop.hpp"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <thread>

namespace turmericswitch::load
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr core::duration late_wakeup_threshold = std::chrono::milliseconds(1);

/// Body of a pool thread: takes the next send until none is left.
///
/// @return Delays of the sends of this thread.
send_delays run_sends(std::vector<core::duration> const& times,
                      std::atomic<std::size_t>& next,
                      clock::time_point start,
                      send_function const& send)
{
    send_delays delays;
    for (auto i = next.fetch_add(1); i < times.size(); i = next.fetch_add(1))
    {
        auto const due = start + times[i];
        bool const was_busy = clock::now() > due;
        std::this_thread::sleep_until(due);
        auto const delay = clock::now() - due;
        delays.no_free_thread += was_busy ? 1 : 0;
        delays.late_wakeups +=
            !was_busy && delay > late_wakeup_threshold ? 1 : 0;
        delays.max_delay_ms =
            std::max(delays.max_delay_ms,
                     std::chrono::duration<double, std::milli>(delay).count());
        send(i, due);
    }
    return delays;
}

} // namespace

send_delays run_open_loop(std::vector<core::duration> const& times,
                          std::size_t threads,
                          send_function const& send)
{
    assert(threads > 0);
    // Time to start the threads, so that the first sends are not late.
    constexpr core::duration start_delay = std::chrono::milliseconds(20);
    auto const start = clock::now() + start_delay;
    std::atomic<std::size_t> next = 0;
    std::vector<send_delays> per_thread(threads);
    std::vector<std::thread> pool;
    pool.reserve(threads);
    for (auto& delays : per_thread)
    {
        pool.emplace_back([&]
                          { delays = run_sends(times, next, start, send); });
    }
    send_delays total;
    for (std::size_t i = 0; i < threads; ++i)
    {
        pool[i].join();
        total.no_free_thread += per_thread[i].no_free_thread;
        total.late_wakeups += per_thread[i].late_wakeups;
        total.max_delay_ms =
            std::max(total.max_delay_ms, per_thread[i].max_delay_ms);
    }
    return total;
}

} // namespace turmericswitch::load
