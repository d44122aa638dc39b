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

/// Queue of events from io threads to the one thread that serves a request.
///
/// Each request has one and shares it with its calls, so that threads of
/// different requests don't contend for its lock. Events that arrive after the
/// request has ended are rejected.
template <typename Event>
class mailbox
{
public:
    /// @return False after `close`; the event is dropped then.
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
        m_not_empty.notify_one();
        return true;
    }

    /// Called when the request has ended.
    ///
    /// @return Events that were put and not taken.
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

    /// Waits for the next event.
    ///
    /// @return Nothing if none arrived before `deadline`.
    std::optional<Event> take(core::time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        auto const time_left = deadline - process::event_loop::now();
        m_not_empty.wait_for(
            lock, time_left, [this] { return !m_events.empty(); });
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
    std::condition_variable m_not_empty;
    std::deque<Event> m_events;
    bool m_closed = false;
};

} // namespace turmericswitch::gateway

#endif
