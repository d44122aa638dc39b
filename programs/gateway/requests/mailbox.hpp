#ifndef TURMERICSWITCH_GATEWAY_REQUESTS_MAILBOX_HPP
#define TURMERICSWITCH_GATEWAY_REQUESTS_MAILBOX_HPP

#include "core/types/units.hpp"
#include "process/loop/event_loop.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace turmericswitch::gateway
{

/// Carries events from io threads to the one thread that serves a request.
///
/// One per request, shared with its calls, so its lock is never one that all
/// threads use. An event that comes after the request has ended is refused.
template <typename Event>
class mailbox
{
public:
    /// @return False after `close`; the event is then dropped.
    bool put(Event event)
    {
        {
            std::lock_guard const lock(m_mutex);
            if (m_closed)
            {
                return false;
            }
            m_events.push_back(std::move(event));
        }
        m_filled.notify_one();
        return true;
    }

    /// The request has ended.
    ///
    /// @return Events that arrived and were not taken.
    std::deque<Event> close()
    {
        std::lock_guard const lock(m_mutex);
        m_closed = true;
        return std::exchange(m_events, {});
    }

    bool is_closed() const
    {
        std::lock_guard const lock(m_mutex);
        return m_closed;
    }

    /// @return The next event, or nothing at `until`.
    std::optional<Event> take(core::time_point until)
    {
        std::unique_lock lock(m_mutex);
        auto const left = until - process::event_loop::now();
        m_filled.wait_for(lock, left, [this] { return !m_events.empty(); });
        if (m_events.empty())
        {
            return std::nullopt;
        }
        auto event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<Event> m_events;
    bool m_closed = false;
};

} // namespace turmericswitch::gateway

#endif
