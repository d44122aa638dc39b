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
        become_follower(m_hard.current_term, leader, result_code::not_leader);
    }
    m_leader_heard = m_now;
    restart_election_timer();
}

void raft_node::receive(core::append_request const& body)
{
    if (m_role == member_role::leader || !are_consecutive(body))
    {
        return;
    }
    follow(m_message->from);
    m_answer_round = std::max(m_answer_round, body.round);
    // Committed entries match those of every later leader.
    bool const matches =
        body.previous_index <= m_commit ||
        m_log.term_at(body.previous_index) == body.previous_term;
    if (!matches)
    {
        send_to(m_message->from,
                core::append_answer{
                    false, refusal_hint(body.previous_index), body.round});
        return;
    }
    store_new_entries(body.entries);
    m_verified =
        std::max(m_verified,
                 log_index(body.previous_index.value() + body.entries.size()));
    advance_commit(std::min(body.commit_index, m_verified));
    answer_append();
}

/// @return The last index that may match: the end of the log, or the entry
/// before the first of the conflicting term.
log_index raft_node::refusal_hint(log_index previous) const
{
    if (previous > m_log.last_index())
    {
        return m_log.last_index();
    }
    auto const first = m_log.first_of_term(previous);
    return std::max(m_commit, log_index(first.value() - 1));
}

void raft_node::store_new_entries(std::vector<core::log_entry> const& entries)
{
    auto const fresh =
        std::find_if(entries.begin(),
                     entries.end(),
                     [this](core::log_entry const& entry)
                     {
                         return entry.index > m_commit &&
                                m_log.term_at(entry.index) != entry.entry_term;
                     });
    if (fresh == entries.end())
    {
        return;
    }
    if (fresh->index <= m_log.last_index())
    {
        auto const before = log_index(fresh->index.value() - 1);
        m_log.truncate(fresh->index);
        m_persisted = std::min(m_persisted, before);
        emit(truncate{fresh->index});
    }
    append_entries({fresh, entries.end()});
}

void raft_node::answer_append()
{
    send_to(*m_leader,
            core::append_answer{
                true, std::min(m_persisted, m_verified), m_answer_round});
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
        metadata.last_index <= m_commit ||
        m_log.term_at(metadata.last_index) == metadata.last_term;
    bool installed = in_log;
    if (in_log)
    {
        advance_commit(metadata.last_index);
    }
    else if (auto data = m_receiver.receive(m_message->from, body))
    {
        install(metadata, std::move(*data));
        installed = true;
    }
    auto const last = installed ? std::min(metadata.last_index, m_persisted)
                                : metadata.last_index;
    send_to(m_message->from,
            core::snapshot_answer{last, m_receiver.next_offset(), installed});
}

void raft_node::install(core::snapshot_metadata const& metadata,
                        std::string data)
{
    m_log.reset(metadata);
    m_persisted = metadata.last_index;
    m_commit = metadata.last_index;
    m_verified = std::max(m_verified, metadata.last_index);
    m_snapshot =
        offered_snapshot{metadata, std::make_shared<std::string const>(data)};
    emit(install_snapshot{metadata, std::move(data)});
}

} // namespace turmericswitch::consensus
