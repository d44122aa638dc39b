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

void follower_progress::record_answer(core::time_point now, std::uint64_t round)
{
    m_last_answer = now;
    m_round = std::max(m_round, round);
}

core::time_point follower_progress::last_answer() const
{
    return m_last_answer;
}

std::uint64_t follower_progress::acknowledged_round() const
{
    return m_round;
}

bool follower_progress::may_send(std::size_t max_in_flight_bytes) const
{
    return m_probing ? !m_probe_sent : m_in_flight_bytes < max_in_flight_bytes;
}

bool follower_progress::probing() const
{
    return m_probing;
}

void follower_progress::record_append(log_index last,
                                      std::size_t bytes,
                                      core::time_point now)
{
    if (m_in_flight.empty())
    {
        m_last_progress = now;
    }
    m_in_flight.push_back({last, bytes});
    m_in_flight_bytes += bytes;
    if (m_probing)
    {
        m_probe_sent = true;
        return;
    }
    m_next = after(last);
}

void follower_progress::record_match(log_index index, core::time_point now)
{
    if (index > m_match)
    {
        m_match = index;
        m_last_progress = now;
    }
    while (!m_in_flight.empty() && m_in_flight.front().last <= m_match)
    {
        m_in_flight_bytes -= m_in_flight.front().bytes;
        m_in_flight.pop_front();
    }
    m_next = std::max(m_next, after(m_match));
    if (m_probing && index.value() + 1 >= m_next.value())
    {
        m_probing = false;
        m_probe_sent = false;
    }
}

void follower_progress::record_rejection(log_index hint)
{
    if (after(hint) >= m_next)
    {
        return;
    }
    start_probing();
    m_next = std::max(after(hint), after(m_match));
}

void follower_progress::retry_if_stalled(core::time_point now,
                                         core::duration limit)
{
    if (m_in_flight.empty() || now - m_last_progress < limit)
    {
        return;
    }
    // While probing, the match index may be far behind, so m_next stays.
    bool const was_probing = m_probing;
    start_probing();
    if (!was_probing)
    {
        m_next = after(m_match);
    }
}

void follower_progress::start_probing()
{
    m_probing = true;
    m_probe_sent = false;
    m_in_flight.clear();
    m_in_flight_bytes = 0;
}

raft_snapshot const* follower_progress::snapshot() const
{
    return m_snapshot.get();
}

std::uint64_t follower_progress::snapshot_offset() const
{
    return m_snapshot_offset;
}

void follower_progress::begin_snapshot(raft_snapshot snapshot)
{
    start_probing();
    m_snapshot = std::make_unique<raft_snapshot>(std::move(snapshot));
    m_snapshot_offset = 0;
}

void follower_progress::record_chunk(std::uint64_t offset, core::time_point now)
{
    m_snapshot_offset = offset;
    m_chunk_sent = now;
}

bool follower_progress::chunk_overdue(core::time_point now,
                                      core::duration limit) const
{
    return now - m_chunk_sent >= limit;
}

void follower_progress::end_snapshot()
{
    m_snapshot = nullptr;
    start_probing();
    m_next = after(m_match);
}

} // namespace turmericswitch::consensus
