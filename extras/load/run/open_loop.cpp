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

constexpr core::duration late_wakeup = std::chrono::milliseconds(1);

/// The part of the schedule that one thread carried out.
punctuality send_due(std::vector<core::duration> const& times,
                     std::atomic<std::size_t>& next,
                     clock::time_point start,
                     send_function const& send)
{
    punctuality seen;
    for (auto i = next.fetch_add(1); i < times.size(); i = next.fetch_add(1))
    {
        auto const due = start + times[i];
        bool const was_busy = clock::now() > due;
        std::this_thread::sleep_until(due);
        auto const delay = clock::now() - due;
        seen.late_for_threads += was_busy ? 1 : 0;
        seen.late_wakeups += !was_busy && delay > late_wakeup ? 1 : 0;
        seen.worst_delay_ms =
            std::max(seen.worst_delay_ms,
                     std::chrono::duration<double, std::milli>(delay).count());
        send(i, due);
    }
    return seen;
}

} // namespace

punctuality run_open_loop(std::vector<core::duration> const& times,
                          std::size_t threads,
                          send_function const& send)
{
    assert(threads > 0);
    // Threads start first, so that the earliest sends are not late.
    constexpr core::duration head_start = std::chrono::milliseconds(20);
    auto const start = clock::now() + head_start;
    std::atomic<std::size_t> next = 0;
    std::vector<punctuality> parts(threads);
    std::vector<std::thread> pool;
    pool.reserve(threads);
    for (auto& part : parts)
    {
        pool.emplace_back([&] { part = send_due(times, next, start, send); });
    }
    punctuality all;
    for (std::size_t i = 0; i < threads; ++i)
    {
        pool[i].join();
        all.late_for_threads += parts[i].late_for_threads;
        all.late_wakeups += parts[i].late_wakeups;
        all.worst_delay_ms =
            std::max(all.worst_delay_ms, parts[i].worst_delay_ms);
    }
    return all;
}

} // namespace turmericswitch::load
