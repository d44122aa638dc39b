#include "consensus/node/raft_node.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;
using core::result_code;

void raft_node::tick_leader(bool heartbeat_due)
{
    if (heartbeat_due)
    {
        m_next_heartbeat = m_now + m_options.heartbeat_interval;
        ++m_round;
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
    if (heartbeat)
    {
        send_heartbeat(id, progress);
    }
    if (heartbeat || progress.has_failed())
    {
        resend_due(id, progress);
    }
    if (progress.snapshot() == nullptr &&
        progress.next() <= m_log.base_index() && m_snapshot)
    {
        progress.begin_snapshot(*m_snapshot);
    }
    if (progress.snapshot() == nullptr)
    {
        send_new(id, progress);
    }
    else if (progress.chunk_due(m_now, m_options.heartbeat_interval))
    {
        send_chunk(id, progress);
    }
}

/// Heartbeats carry no entries, so that they are not delayed by their size.
void raft_node::send_heartbeat(core::member_id id,
                               follower_progress const& progress)
{
    core::append_request request;
    // Heartbeats to a member that is receiving a snapshot carry no previous
    // index. Others would be refused for entries that are still on their way.
    if (progress.snapshot() == nullptr)
    {
        request.previous_index = progress.probing()
                                     ? log_index(progress.next().value() - 1)
                                     : progress.match();
        request.previous_term =
            m_log.term_at(request.previous_index).value_or(core::term());
    }
    request.commit_index = m_commit_index;
    request.round = m_round;
    send_to(id, std::move(request));
}

void raft_node::resend_due(core::member_id id, follower_progress& progress)
{
    while (auto const* const range =
               progress.due_range(m_now, m_options.heartbeat_interval))
    {
        if (range->first <= m_log.base_index())
        {
            // The entries were compacted since they were sent.
            if (m_snapshot)
            {
                progress.begin_snapshot(*m_snapshot);
            }
            return;
        }
        if (!fits_transport(id, range->bytes, 0))
        {
            return;
        }
        progress.record_repeated(*range, send_range(id, *range));
    }
}

void raft_node::send_new(core::member_id id, follower_progress& progress)
{
    while (progress.next() <= m_log.last_index() && progress.may_send())
    {
        auto const range = range_at(progress.next(), progress.next_offset());
        if (progress.probing() && range.offset)
        {
            send_heartbeat(id, progress);
            progress.record_probe();
            return;
        }
        if (!fits_transport(id, range.bytes, progress.delivered_bytes()))
        {
            return;
        }
        progress.record_sent(range, send_range(id, range));
    }
}

log_range raft_node::range_at(log_index index, std::uint64_t offset) const
{
    auto const size = m_log.at(index).data.size();
    auto const limit = m_options.max_message_bytes;
    if (size > limit)
    {
        auto const bytes =
            std::min(limit, size - static_cast<std::size_t>(offset));
        return {index, index, bytes, offset, offset + bytes == size};
    }
    auto const last = m_log.last_within(index, limit);
    return {index, last, m_log.payload_bytes(index, last), {}, true};
}

delivery_id raft_node::send_range(core::member_id id, log_range const& range)
{
    auto const previous = log_index(range.first.value() - 1);
    auto const previous_term = m_log.term_at(previous).value_or(core::term());
    if (!range.offset)
    {
        return send_tracked(
            id,
            core::append_request{previous,
                                 previous_term,
                                 m_log.slice(range.first, range.last),
                                 m_commit_index,
                                 m_round},
            range.bytes);
    }
    auto const& entry = m_log.at(range.first);
    core::append_fragment fragment;
    fragment.index = entry.index;
    fragment.previous_term = previous_term;
    fragment.entry_term = entry.entry_term;
    fragment.kind = entry.kind;
    fragment.size = entry.data.size();
    fragment.offset = *range.offset;
    fragment.data = entry.data.substr(*range.offset, range.bytes);
    fragment.commit_index = m_commit_index;
    fragment.round = m_round;
    return send_tracked(id, std::move(fragment), range.bytes);
}

/// @param delivered_bytes Bytes that the member has received and that also
/// count as in flight.
/// @return True if a message may be handed to the transport. One message to
/// each member may always be, so that no member keeps others from receiving.
bool raft_node::fits_transport(core::member_id id,
                               std::size_t bytes,
                               std::size_t delivered_bytes) const
{
    auto const in_flight = m_deliveries.bytes_to(id) + delivered_bytes;
    return in_flight == 0 ||
           (in_flight + bytes <= m_options.max_in_flight_bytes &&
            m_deliveries.bytes() + bytes <=
                m_options.max_total_in_flight_bytes);
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
    auto const bytes = chunk.data.size() + 1;
    if (fits_transport(id, bytes, 0))
    {
        progress.record_chunk(send_tracked(id, std::move(chunk), bytes));
    }
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
    // An answer with a lower offset may be older than the chunk under way.
    bool const moves = body.next_offset > progress.snapshot_offset() ||
                       (body.next_offset < progress.snapshot_offset() &&
                        !progress.chunk_in_transport());
    if (is_current && moves && body.next_offset <= snapshot->data->size())
    {
        progress.move_snapshot(body.next_offset);
        send_chunk(m_message->from, progress);
    }
}

void raft_node::receive(core::fragment_answer const& body)
{
    auto const found = m_progress.find(m_message->from);
    if (m_role != member_role::leader || found == m_progress.end())
    {
        return;
    }
    auto& progress = found->second;
    progress.record_answer(m_now, body.round);
    progress.record_fragment(body.index, body.offset, m_now);
    replicate_to(m_message->from, false);
    update_reads();
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

std::optional<core::time_point> raft_node::commit_pending_since() const
{
    bool const is_pending =
        m_role == member_role::leader && m_commit_index < m_log.last_index();
    return is_pending ? std::optional(m_commit_pending_since) : std::nullopt;
}

/// @return The other voter with the longest log of those that answered
/// recently.
std::optional<core::member_id> raft_node::most_advanced_voter() const
{
    log_index best;
    std::optional<core::member_id> found;
    for (auto const& [id, progress] : m_progress)
    {
        bool const recent =
            m_now - progress.last_answer() < m_options.election_timeout;
        if (recent && is_voter(id) && progress.match() >= best)
        {
            best = progress.match();
            found = id;
        }
    }
    return found;
}

/// Hands over without waiting until the successor has all entries, because they
/// do not arrive. Those without a quorum may be lost, as after a crash.
///
/// @return True if this node no longer leads.
bool raft_node::give_up_if_stalled()
{
    auto const since = commit_pending_since();
    if (!since || m_now - *since < m_options.commit_stall_timeout)
    {
        return false;
    }
    auto const successor = most_advanced_voter();
    if (!successor)
    {
        return false;
    }
    emit(leadership_given_up{*successor, m_now - *since});
    send_to(*successor, core::timeout_now{});
    become_follower(
        m_hard_state.current_term, std::nullopt, result_code::no_quorum);
    return true;
}

void raft_node::on(transfer_leadership const&)
{
    if (m_role != member_role::leader || m_transfer_target)
    {
        return;
    }
    m_transfer_target = most_advanced_voter();
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
