#include "gateway/requests/claim_end_sender.hpp"

#include <utility>

namespace turmericswitch::gateway
{

claim_end_sender::claim_end_sender(claim_end_hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void claim_end_sender::add(core::finish_claim end)
{
    {
        std::lock_guard const lock(m_mutex);
        if (m_waiting.size() >= max_waiting)
        {
            m_waiting.pop_front();
            m_hooks.dropped();
        }
        m_waiting.push_back(
            {std::move(end), m_hooks.now() + core::claim_lifetime});
    }
    send_waiting();
}

void claim_end_sender::stop()
{
    std::lock_guard const lock(m_mutex);
    m_is_stopped = true;
}

std::size_t claim_end_sender::in_flight() const
{
    std::lock_guard const lock(m_mutex);
    return m_in_flight;
}

void claim_end_sender::send_waiting()
{
    while (true)
    {
        std::unique_lock lock(m_mutex);
        if (m_is_stopped || m_is_paused || m_waiting.empty() ||
            m_in_flight >= max_in_flight)
        {
            return;
        }
        auto const end = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_in_flight;
        lock.unlock();
        m_hooks.send(end.command,
                     [self = shared_from_this(), end](bool is_applied)
                     { self->answered(end, is_applied); });
    }
}

void claim_end_sender::answered(claim_end const& end, bool is_applied)
{
    if (!is_applied && repeat_later(end))
    {
        m_hooks.run_after(retry_delay,
                          [self = shared_from_this()] { self->resume(); });
    }
    {
        // After the hook: the owner waits until nothing is in flight.
        std::lock_guard const lock(m_mutex);
        --m_in_flight;
    }
    send_waiting();
}

bool claim_end_sender::repeat_later(claim_end const& end)
{
    std::lock_guard const lock(m_mutex);
    if (m_is_stopped || m_hooks.now() >= end.expires)
    {
        return false;
    }
    m_waiting.push_front(end);
    return !std::exchange(m_is_paused, true);
}

void claim_end_sender::resume()
{
    {
        std::lock_guard const lock(m_mutex);
        m_is_paused = false;
    }
    send_waiting();
}

} // namespace turmericswitch::gateway
