#include "consensus/replication/transmission.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

/// Heartbeat intervals that a peer has to acknowledge a message that it
/// received, before the message is sent again for the first time.
constexpr int answer_heartbeats = 3;
/// The delay doubles with each attempt up to 8 times the first one. After a
/// failure the second attempt is made at once, because most failures are those
/// of a connection that is replaced, and the third one a heartbeat later.
constexpr unsigned max_doublings = 3;

} // namespace

transmission::transmission(delivery_id id) : m_id(id) {}

void transmission::repeat(delivery_id id)
{
    m_id = id;
    m_stage = stage::in_transport;
    ++m_repeats;
}

bool transmission::end(delivery_id id, bool answered, core::time_point now)
{
    if (id != m_id || m_stage != stage::in_transport)
    {
        return false;
    }
    m_stage = answered ? stage::delivered : stage::failed;
    m_ended = now;
    return true;
}

bool transmission::expedite()
{
    if (m_stage != stage::delivered || m_repeats > 0)
    {
        return false;
    }
    m_stage = stage::failed;
    return true;
}

bool transmission::is_in_transport() const
{
    return m_stage == stage::in_transport;
}

bool transmission::expedite_before(core::time_point later)
{
    if (m_stage != stage::delivered || m_ended >= later)
    {
        return false;
    }
    m_stage = stage::failed;
    return true;
}

std::optional<core::time_point> transmission::repeat_delivered() const
{
    return m_repeats > 0 && m_stage == stage::delivered ? std::optional(m_ended)
                                                        : std::nullopt;
}

bool transmission::has_failed() const
{
    return m_stage == stage::failed;
}

bool transmission::is_delivered() const
{
    return m_stage == stage::delivered;
}

bool transmission::is_due(core::time_point now,
                          core::time_point answer_since,
                          core::duration heartbeat) const
{
    auto const factor = 1 << std::min(m_repeats, max_doublings);
    bool const is_first = m_repeats == 0;
    switch (m_stage)
    {
    case stage::in_transport:
        return false;
    case stage::failed:
        return is_first || now - m_ended >= heartbeat * factor / 2;
    case stage::delivered:
        return now - std::max(m_ended, answer_since) >=
               heartbeat * answer_heartbeats * factor;
    }
    return false;
}

} // namespace turmericswitch::consensus
