#include "consensus/replication/follower_progress.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

using core::log_index;

namespace
{

log_index after(log_index index)
{
    return log_index(index.value() + 1);
}

} // namespace

follower_progress::follower_progress(log_index next, core::time_point now)
    : m_next(next), m_last_progress(now), m_last_answer(now)
{
}

log_index follower_progress::match() const
{
    return m_match;
}

log_index follower_progress::next() const
{
    return m_next;
}

std::uint64_t follower_progress::next_offset() const
{
    return m_next_offset;
}

void follower_progress::record_answer(core::time_point now, std::uint64_t round)
{
    m_last_answer = now;
    m_has_answered = true;
    m_round = std::max(m_round, round);
}

bool follower_progress::has_answered() const
{
    return m_has_answered;
}

core::time_point follower_progress::last_answer() const
{
    return m_last_answer;
}

std::uint64_t follower_progress::acknowledged_round() const
{
    return m_round;
}

bool follower_progress::in_flight_range::is_counted() const
{
    return sending.is_delivered() && !acknowledged;
}

bool follower_progress::may_send() const
{
    return m_probing ? !m_probe_sent && m_in_flight.empty() : m_failed == 0;
}

bool follower_progress::probing() const
{
    return m_probing;
}

bool follower_progress::has_failed() const
{
    return m_failed > 0;
}

std::size_t follower_progress::delivered_bytes() const
{
    return m_delivered_bytes;
}

void follower_progress::record_probe()
{
    m_probe_sent = true;
}

void follower_progress::record_sent(log_range const& range,
                                    delivery_id delivery)
{
    m_in_flight.push_back({range, transmission(delivery)});
    if (m_probing)
    {
        return;
    }
    m_next = range.completes_entry ? after(range.last) : range.last;
    m_next_offset =
        range.completes_entry ? 0 : range.offset.value_or(0) + range.bytes;
}

void follower_progress::record_delivery(delivery_id delivery,
                                        bool answered,
                                        core::time_point now)
{
    if (m_chunk)
    {
        m_chunk->end(delivery, answered, now);
    }
    for (auto& item : m_in_flight)
    {
        // The follower holds an acknowledged fragment, although the answer of
        // its call was lost.
        if (item.sending.end(delivery, answered || item.acknowledged, now))
        {
            m_delivered_bytes += item.is_counted() ? item.range.bytes : 0;
            m_failed += item.sending.has_failed();
            return;
        }
    }
}

void follower_progress::record_fragment(log_index index,
                                        std::uint64_t offset,
                                        core::time_point now)
{
    for (auto& item : m_in_flight)
    {
        if (item.range.first == index && item.range.offset == offset &&
            !item.acknowledged && !item.sending.has_failed())
        {
            m_delivered_bytes -= item.is_counted() ? item.range.bytes : 0;
            item.acknowledged = true;
            m_last_progress = now;
        }
    }
}

void follower_progress::record_match(log_index index, core::time_point now)
{
    if (index > m_match)
    {
        m_match = index;
        m_last_progress = now;
    }
    std::optional<core::time_point> repeat_delivered;
    while (!m_in_flight.empty() && m_in_flight.front().range.last <= m_match)
    {
        auto const& front = m_in_flight.front();
        repeat_delivered = front.range.last == m_match
                               ? front.sending.repeat_delivered()
                               : std::nullopt;
        m_delivered_bytes -= front.is_counted() ? front.range.bytes : 0;
        m_failed -= front.sending.has_failed();
        m_in_flight.pop_front();
    }
    if (repeat_delivered)
    {
        repeat_delivered_before(*repeat_delivered);
    }
    if (m_next <= m_match)
    {
        m_next = after(m_match);
        m_next_offset = 0;
    }
    if (m_probing && index.value() + 1 >= m_next.value())
    {
        m_probing = false;
        m_probe_sent = false;
        if (!m_in_flight.empty())
        {
            // The accepted probe carried entries that are not durable yet.
            m_next = after(m_in_flight.back().range.last);
        }
    }
}

void follower_progress::record_rejection(log_index hint)
{
    if (!m_probing)
    {
        repeat_missing(after(hint));
        return;
    }
    if (after(hint) >= m_next)
    {
        return;
    }
    start_probing();
    m_next = std::max(after(hint), after(m_match));
}

log_range const* follower_progress::due_range(core::time_point now,
                                              core::duration heartbeat)
{
    repeat_lost_entry(now, heartbeat);
    bool is_in_order = true;
    for (auto const& item : m_in_flight)
    {
        bool const may_be_lost = item.is_counted() && is_in_order;
        if ((item.sending.has_failed() || may_be_lost) &&
            item.sending.is_due(now, m_last_progress, heartbeat))
        {
            return &item.range;
        }
        // The follower keeps later ranges until the earlier ones arrive.
        is_in_order &= item.sending.is_delivered();
        if (!is_in_order && m_failed == 0)
        {
            break;
        }
    }
    return nullptr;
}

/// Makes the range that the follower lacks due at once, unless the transport
/// holds it or it was sent again before.
void follower_progress::repeat_missing(log_index index)
{
    if (m_in_flight.empty())
    {
        return;
    }
    auto& front = m_in_flight.front();
    // A follower that holds fragments lacks their entry until all have arrived.
    if (!front.range.offset && front.range.first == index &&
        front.sending.expedite())
    {
        m_delivered_bytes -= front.range.bytes;
        ++m_failed;
    }
}

/// Makes the ranges due at once that were delivered before a repeated one. A
/// follower that acknowledges the repeated range and nothing after it has lost
/// those that it had received earlier, for example by a crash before it synced
/// them.
void follower_progress::repeat_delivered_before(core::time_point later)
{
    for (auto& item : m_in_flight)
    {
        if (!item.range.offset && item.sending.expedite_before(later))
        {
            m_delivered_bytes -= item.range.bytes;
            ++m_failed;
        }
    }
}

/// Sends all fragments of the first entry again if the follower had all of them
/// and did not acknowledge the entry.
void follower_progress::repeat_lost_entry(core::time_point now,
                                          core::duration heartbeat)
{
    if (m_in_flight.empty() || !m_in_flight.front().acknowledged)
    {
        return;
    }
    auto const index = m_in_flight.front().range.first;
    auto const end = std::find_if(m_in_flight.begin(),
                                  m_in_flight.end(),
                                  [index](in_flight_range const& item)
                                  { return item.range.first != index; });
    bool const is_lost =
        m_next > index &&
        std::all_of(m_in_flight.begin(),
                    end,
                    [&](in_flight_range const& item)
                    {
                        return item.acknowledged &&
                               item.sending.is_due(
                                   now, m_last_progress, heartbeat);
                    });
    if (!is_lost)
    {
        return;
    }
    for (auto item = m_in_flight.begin(); item != end; ++item)
    {
        item->acknowledged = false;
        m_delivered_bytes += item->range.bytes;
    }
}

void follower_progress::record_repeated(log_range const& range,
                                        delivery_id delivery)
{
    for (auto& item : m_in_flight)
    {
        if (&item.range == &range)
        {
            m_delivered_bytes -= item.is_counted() ? range.bytes : 0;
            m_failed -= item.sending.has_failed();
            item.sending.repeat(delivery);
        }
    }
}

void follower_progress::start_probing()
{
    m_probing = true;
    m_probe_sent = false;
    m_in_flight.clear();
    m_delivered_bytes = 0;
    m_failed = 0;
    m_next_offset = 0;
}

raft_snapshot const* follower_progress::snapshot() const
{
    return m_snapshot.get();
}

std::uint64_t follower_progress::snapshot_offset() const
{
    return m_snapshot_offset;
}

bool follower_progress::chunk_in_transport() const
{
    return m_chunk && m_chunk->is_in_transport();
}

void follower_progress::begin_snapshot(raft_snapshot snapshot)
{
    start_probing();
    m_snapshot = std::make_unique<raft_snapshot>(std::move(snapshot));
    move_snapshot(0);
}

void follower_progress::move_snapshot(std::uint64_t offset)
{
    m_snapshot_offset = offset;
    m_chunk.reset();
}

void follower_progress::record_chunk(delivery_id delivery)
{
    if (m_chunk)
    {
        m_chunk->repeat(delivery);
        return;
    }
    m_chunk.emplace(delivery);
}

bool follower_progress::chunk_due(core::time_point now,
                                  core::duration heartbeat) const
{
    return !m_chunk || m_chunk->is_due(now, core::time_point(), heartbeat);
}

void follower_progress::end_snapshot()
{
    m_snapshot = nullptr;
    m_chunk.reset();
    start_probing();
    m_next = after(m_match);
}

} // namespace turmericswitch::consensus
