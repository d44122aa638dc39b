#include "consensus/node/raft_node.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;
using core::result_code;

namespace
{

/// Heartbeat intervals without progress after which unacknowledged appends or
/// snapshot chunks are sent again.
constexpr int retry_heartbeats = 3;

std::size_t data_bytes(std::vector<core::log_entry> const& entries)
{
    std::size_t bytes = 0;
    for (auto const& entry : entries)
    {
        bytes += entry.data.size() + 1;
    }
    return bytes;
}

} // namespace

void raft_node::tick_leader(bool heartbeat_due)
{
    if (heartbeat_due)
    {
        m_next_heartbeat = m_now + m_options.heartbeat_interval;
        ++m_round;
        for (auto& [id, progress] : m_progress)
        {
            progress.retry_if_stalled(
                m_now, m_options.heartbeat_interval * retry_heartbeats);
        }
        replicate_all(true);
    }
    update_commit_index();
    if (m_role == member_role::leader)
    {
        update_reads();
        update_transfer();
    }
}

void raft_node::replicate_all(bool heartbeat)
{
    for (auto const& [id, progress] : m_progress)
    {
        replicate_to(id, heartbeat);
    }
}

void raft_node::replicate_to(core::member_id id, bool heartbeat)
{
    auto const found = m_progress.find(id);
    if (found == m_progress.end())
    {
        return;
    }
    auto& progress = found->second;
    if (progress.snapshot() == nullptr &&
        progress.next() <= m_log.base_index() && m_snapshot)
    {
        progress.begin_snapshot(*m_snapshot);
        send_chunk(id, progress);
    }
    bool sent = false;
    while (progress.snapshot() == nullptr &&
           progress.next() <= m_log.last_index() &&
           progress.may_send(m_options.max_in_flight_bytes))
    {
        send_append(id,
                    progress,
                    m_log.slice(progress.next(), m_options.max_message_bytes));
        sent = true;
    }
    if (!heartbeat)
    {
        return;
    }
    if (!sent)
    {
        send_append(id, progress, {});
    }
    if (progress.snapshot() != nullptr &&
        progress.chunk_overdue(m_now,
                               m_options.heartbeat_interval * retry_heartbeats))
    {
        send_chunk(id, progress);
    }
}

void raft_node::send_append(core::member_id id,
                            follower_progress& progress,
                            std::vector<core::log_entry> entries)
{
    core::append_request request;
    // Heartbeats to a member that is receiving a snapshot carry no previous
    // index.
    if (progress.snapshot() == nullptr)
    {
        request.previous_index = log_index(progress.next().value() - 1);
        request.previous_term =
            m_log.term_at(request.previous_index).value_or(core::term());
    }
    request.commit_index = m_commit_index;
    request.round = m_round;
    if (!entries.empty())
    {
        progress.record_append(
            entries.back().index, data_bytes(entries), m_now);
    }
    request.entries = std::move(entries);
    send_to(id, std::move(request));
}

void raft_node::send_chunk(core::member_id id, follower_progress& progress)
{
    auto const& [metadata, data] = *progress.snapshot();
    auto const offset = progress.snapshot_offset();
    core::snapshot_chunk chunk;
    chunk.metadata = metadata;
    chunk.offset = offset;
    chunk.data = data->substr(offset, m_options.snapshot_chunk_bytes);
    chunk.last = offset + chunk.data.size() == data->size();
    progress.record_chunk(offset, m_now);
    send_to(id, std::move(chunk));
}

void raft_node::receive(core::append_answer const& body)
{
    auto const found = m_progress.find(m_message->from);
    if (m_role != member_role::leader || found == m_progress.end())
    {
        return;
    }
    auto const from = found->first;
    auto& progress = found->second;
    progress.record_answer(m_now, body.round);
    if (body.success)
    {
        progress.record_match(std::min(body.match_index, m_log.last_index()),
                              m_now);
        update_commit_index();
    }
    else if (progress.snapshot() == nullptr)
    {
        progress.record_rejection(body.match_index);
    }
    if (m_role == member_role::leader)
    {
        replicate_to(from, false);
        update_reads();
        update_transfer();
    }
}

void raft_node::receive(core::snapshot_answer const& body)
{
    auto const found = m_progress.find(m_message->from);
    if (m_role != member_role::leader || found == m_progress.end())
    {
        return;
    }
    auto& progress = found->second;
    progress.record_answer(m_now, 0);
    auto const* const snapshot = progress.snapshot();
    if (snapshot == nullptr)
    {
        return;
    }
    if (body.installed)
    {
        progress.record_match(body.last_index, m_now);
        progress.end_snapshot();
        update_commit_index();
        replicate_to(m_message->from, false);
        return;
    }
    bool const is_current = body.last_index == snapshot->metadata.last_index;
    if (is_current && body.next_offset != progress.snapshot_offset() &&
        body.next_offset <= snapshot->data->size())
    {
        progress.record_chunk(body.next_offset, m_now);
        send_chunk(m_message->from, progress);
    }
}

void raft_node::update_commit_index()
{
    std::vector<log_index> matches;
    for (auto const id : voters())
    {
        auto const found = m_progress.find(id);
        matches.push_back(id == m_options.self        ? m_persisted_index
                          : found == m_progress.end() ? log_index()
                                                      : found->second.match());
    }
    if (matches.empty())
    {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    auto const quorum_match = matches[matches.size() / 2];
    // Entries of earlier terms are committed only together with one of the
    // current term (Raft paper, section 5.4.2).
    if (quorum_match <= m_commit_index ||
        m_log.term_at(quorum_match) != m_hard_state.current_term)
    {
        return;
    }
    advance_commit_index(quorum_match);
    update_reads();
    step_down_if_removed();
}

bool raft_node::own_term_committed() const
{
    return m_commit_index >= m_term_start;
}

void raft_node::update_reads()
{
    if (m_role != member_role::leader || !own_term_committed())
    {
        return;
    }
    if (m_reads.needs_round())
    {
        ++m_round;
        m_reads.begin_round(m_round, m_commit_index);
        replicate_all(true);
    }
    std::size_t confirmed = 0;
    for (auto const id : voters())
    {
        auto const found = m_progress.find(id);
        confirmed += id == m_options.self ||
                     (found != m_progress.end() &&
                      found->second.acknowledged_round() >= m_reads.round());
    }
    if (m_reads.round() == 0 || !is_quorum(confirmed))
    {
        return;
    }
    for (auto const& ready : m_reads.finish_round())
    {
        emit(ready);
    }
    if (m_reads.needs_round())
    {
        update_reads();
    }
}

bool raft_node::quorum_answered_recently() const
{
    std::size_t recent = 0;
    for (auto const id : voters())
    {
        auto const found = m_progress.find(id);
        recent += id == m_options.self || (found != m_progress.end() &&
                                           m_now - found->second.last_answer() <
                                               m_options.election_timeout);
    }
    return is_quorum(recent);
}

void raft_node::on(transfer_leadership const&)
{
    if (m_role != member_role::leader || m_transfer_target)
    {
        return;
    }
    log_index best;
    for (auto const& [id, progress] : m_progress)
    {
        bool const recent =
            m_now - progress.last_answer() < m_options.election_timeout;
        if (recent && is_voter(id) && progress.match() >= best)
        {
            best = progress.match();
            m_transfer_target = id;
        }
    }
    m_transfer_sent = false;
    m_transfer_deadline = m_now + m_options.election_timeout;
    update_transfer();
}

void raft_node::update_transfer()
{
    if (!m_transfer_target)
    {
        return;
    }
    auto const found = m_progress.find(*m_transfer_target);
    if (m_now >= m_transfer_deadline || found == m_progress.end())
    {
        m_transfer_target.reset();
        return;
    }
    if (!m_transfer_sent && found->second.match() == m_log.last_index())
    {
        m_transfer_sent = true;
        send_to(*m_transfer_target, core::timeout_now{});
    }
}

} // namespace turmericswitch::consensus
