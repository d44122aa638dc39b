#ifndef TURMERICSWITCH_PROCESS_LOOP_EVENT_LOOP_HPP
#define TURMERICSWITCH_PROCESS_LOOP_EVENT_LOOP_HPP

#include "core/types/units.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace turmericswitch::process
{

/// The one thread that owns the decision modules of a process.
///
/// Other threads post tasks to it. A tick runs at a fixed interval between
/// tasks. Tasks must not block.
class event_loop
{
public:
    using task = std::function<void()>;

    explicit event_loop(core::duration tick_interval);
    /// Stops as stop() does.
    ~event_loop();

    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Starts the thread.
    ///
    /// @param on_tick Runs on the thread at every tick.
    void start(task on_tick);

    /// Runs the tasks posted so far and ends the thread. Later tasks are
    /// dropped.
    void stop();

    void post(task work);

    /// Runs the tasks posted so far, and those that they post, on the calling
    /// thread. Only for a loop that is not started: a test runs the parts of
    /// a process step by step with it.
    void run_pending();

    /// @return Monotonic time since the process started.
    static core::time_point now();

    /// Replaces the clock behind now(), for tests. Call it only while no
    /// thread reads the clock.
    ///
    /// @param source Empty for the clock of the system.
    static void set_clock(std::function<core::time_point()> source);

    /// @return Tasks waiting, for metrics.
    std::size_t backlog() const;

private:
    void run();

    core::duration m_interval;
    task m_on_tick;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::process

#endif
