#include "consensus/node/raft_node.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;
using core::result_code;

namespace
{

bool are_consecutive(core::append_request const& request)
{
    auto expected = request.previous_index.value();
    return std::all_of(request.entries.begin(),
                       request.entries.end(),
                       [&expected](core::log_entry const& entry)
                       { return entry.index.value() == ++expected; });
}

} // namespace

void raft_node::follow(core::member_id leader)
{
    if (m_role != member_role::follower || m_leader != leader)
    {
        become_follower(
            m_hard_state.current_term, leader, result_code::not_leader);
    }
    m_last_leader_contact = m_now;
    restart_election_timer();
}

/// Drops what is known about the log of the leader of an earlier term.
void raft_node::forget_leader()
{
    m_verified_index = log_index();
    m_leader_round = 0;
    m_fragments.clear();
    m_early.clear();
}

void raft_node::receive(core::append_request const& body)
{
    if (m_role == member_role::leader || !are_consecutive(body))
    {
        return;
    }
    follow(m_message->from);
    m_leader_round = std::max(m_leader_round, body.round);
    take_append(body);
}

void raft_node::receive(core::append_fragment const& body)
{
    if (m_role == member_role::leader || body.index == log_index())
    {
        return;
    }
    follow(m_message->from);
    m_leader_round = std::max(m_leader_round, body.round);
    bool const is_stored = body.index <= m_commit_index ||
                           m_log.term_at(body.index) == body.entry_term;
    if (!is_stored && !m_fragments.hold(body))
    {
        return;
    }
    send_to(m_message->from,
            core::fragment_answer{body.index, body.offset, body.round});
    if (is_stored)
    {
        // Logs with an entry of the same index and term are equal up to it.
        m_verified_index = std::max(m_verified_index, body.index);
        answer_append();
    }
    else if (auto entry = m_fragments.take(body.index))
    {
        take_append({log_index(body.index.value() - 1),
                     body.previous_term,
                     {std::move(*entry)},
                     body.commit_index,
                     body.round});
    }
}

bool raft_node::matches_log(core::append_request const& request) const
{
    // Every later leader has the same committed entries (leader completeness).
    return request.previous_index <= m_commit_index ||
           m_log.term_at(request.previous_index) == request.previous_term;
}

void raft_node::take_append(core::append_request const& request)
{
    if (!matches_log(request))
    {
        m_early.hold(request);
        send_to(m_message->from,
                core::append_answer{false,
                                    conflict_hint(request.previous_index),
                                    request.round});
        return;
    }
    store_append(request);
    while (auto const early = m_early.take([this](auto const& held)
                                           { return matches_log(held); }))
    {
        store_append(*early);
    }
    answer_append();
}

void raft_node::store_append(core::append_request const& request)
{
    store_new_entries(request.entries);
    m_verified_index = std::max(
        m_verified_index,
        log_index(request.previous_index.value() + request.entries.size()));
    advance_commit_index(std::min(request.commit_index, m_verified_index));
}

/// @param previous_index Index at which the leader's append did not match.
/// @return The last index that may match: the end of the log, or the index
/// before the first entry of the conflicting term.
log_index raft_node::conflict_hint(log_index previous_index) const
{
    if (previous_index > m_log.last_index())
    {
        return m_log.last_index();
    }
    auto const first = m_log.first_index_of_term(previous_index);
    return std::max(m_commit_index, log_index(first.value() - 1));
}

void raft_node::store_new_entries(std::vector<core::log_entry> const& entries)
{
    auto const first_new =
        std::find_if(entries.begin(),
                     entries.end(),
                     [this](core::log_entry const& entry)
                     {
                         return entry.index > m_commit_index &&
                                m_log.term_at(entry.index) != entry.entry_term;
                     });
    if (first_new == entries.end())
    {
        return;
    }
    if (first_new->index <= m_log.last_index())
    {
        auto const before = log_index(first_new->index.value() - 1);
        m_log.truncate(first_new->index);
        m_persisted_index = std::min(m_persisted_index, before);
        emit(truncate{first_new->index});
    }
    append_entries({first_new, entries.end()});
}

void raft_node::answer_append()
{
    send_to(*m_leader,
            core::append_answer{true,
                                std::min(m_persisted_index, m_verified_index),
                                m_leader_round});
}

void raft_node::receive(core::snapshot_chunk const& body)
{
    if (m_role == member_role::leader)
    {
        return;
    }
    follow(m_message->from);
    auto const& metadata = body.metadata;
    bool const in_log =
        metadata.last_index <= m_commit_index ||
        m_log.term_at(metadata.last_index) == metadata.last_term;
    bool installed = in_log;
    if (in_log)
    {
        advance_commit_index(metadata.last_index);
    }
    else if (auto data = m_receiver.receive(m_message->from, body))
    {
        install(metadata, std::move(*data));
        installed = true;
    }
    auto const last = installed
                          ? std::min(metadata.last_index, m_persisted_index)
                          : metadata.last_index;
    send_to(m_message->from,
            core::snapshot_answer{last, m_receiver.next_offset(), installed});
}

void raft_node::install(core::snapshot_metadata const& metadata,
                        std::string data)
{
    m_log.reset(metadata);
    m_persisted_index = metadata.last_index;
    m_commit_index = metadata.last_index;
    m_verified_index = std::max(m_verified_index, metadata.last_index);
    m_snapshot =
        raft_snapshot{metadata, std::make_shared<std::string const>(data)};
    emit(install_snapshot{metadata, std::move(data)});
}

} // namespace turmericswitch::consensus
