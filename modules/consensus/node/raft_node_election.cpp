#include "consensus/node/raft_node.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;
using core::result_code;

void raft_node::restart_election_timer()
{
    auto const spread =
        static_cast<std::uint64_t>(m_options.election_timeout.count());
    auto const extra = core::random_below(m_random, spread);
    m_election_deadline = m_now + m_options.election_timeout +
                          core::duration(static_cast<std::int64_t>(extra));
}

void raft_node::become_follower(core::term term,
                                std::optional<core::member_id> leader,
                                result_code reason)
{
    bool const changes = m_role != member_role::follower ||
                         term != m_hard_state.current_term ||
                         leader != m_leader;
    if (term != m_hard_state.current_term)
    {
        m_hard_state = {term, core::member_id()};
        m_hard_state_dirty = true;
        forget_leader();
    }
    m_role = member_role::follower;
    m_leader = leader;
    reject_pending(reason);
    restart_election_timer();
    if (changes)
    {
        report_role();
    }
}

void raft_node::reject_pending(result_code reason)
{
    // The entries are in the log, so another leader may still commit them.
    for (auto const& [index, id] : std::exchange(m_tickets, {}))
    {
        reject(id, result_code::outcome_unknown);
    }
    for (auto const id : m_reads.clear())
    {
        reject(id, reason);
    }
    m_progress.clear();
    m_votes.clear();
    m_transfer_target.reset();
    m_uncommitted_bytes = 0;
}

void raft_node::start_pre_vote()
{
    restart_election_timer();
    if (!may_campaign())
    {
        // A removed learner would otherwise keep its last leader for good.
        if (m_leader)
        {
            m_leader.reset();
            report_role();
        }
        return;
    }
    m_role = member_role::pre_candidate;
    m_leader.reset();
    m_votes = {m_options.self};
    report_role();
    if (has_vote_quorum())
    {
        start_election(false);
        return;
    }
    request_votes(true, false);
}

void raft_node::start_election(bool transfer)
{
    m_hard_state = {core::term(m_hard_state.current_term.value() + 1),
                    m_options.self};
    m_hard_state_dirty = true;
    forget_leader();
    m_role = member_role::candidate;
    m_leader.reset();
    m_votes = {m_options.self};
    restart_election_timer();
    report_role();
    if (has_vote_quorum())
    {
        become_leader();
        return;
    }
    request_votes(false, transfer);
}

void raft_node::request_votes(bool pre_vote, bool transfer)
{
    // A pre-vote asks about the next term without starting it.
    auto const requested_term =
        core::term(m_hard_state.current_term.value() + pre_vote);
    for (auto const id : voters())
    {
        if (id != m_options.self)
        {
            send_to(
                id,
                requested_term,
                core::vote_request{
                    m_log.last_index(), m_log.last_term(), pre_vote, transfer});
        }
    }
}

void raft_node::become_leader()
{
    m_role = member_role::leader;
    m_leader = m_options.self;
    m_commit_pending_since = m_now;
    m_votes.clear();
    m_progress.clear();
    m_term_start = log_index(m_log.last_index().value() + 1);
    m_receiver.clear();
    sync_progress();
    report_role();
    append_entries({{m_hard_state.current_term,
                     m_term_start,
                     core::entry_kind::no_operation,
                     {}}});
    tick_leader(true);
}

/// Adopts a higher term from the current message and filters out messages of
/// lower terms.
/// @return True if the message is to be handled.
bool raft_node::check_term()
{
    auto const term = m_message->message_term;
    auto const* const vote = std::get_if<core::vote_request>(&m_message->body);
    if (term < m_hard_state.current_term)
    {
        return answer_stale_term();
    }
    if (vote != nullptr && vote->pre_vote)
    {
        return true;
    }
    auto const* const answer = std::get_if<core::vote_answer>(&m_message->body);
    bool const is_granted_pre_vote =
        answer != nullptr && answer->pre_vote && answer->granted;
    if (term == m_hard_state.current_term || is_granted_pre_vote)
    {
        return true;
    }
    // A candidate that lost contact with the group must not depose a leader
    // that still has a quorum.
    if (vote != nullptr && !vote->transfer && leader_is_alive())
    {
        return false;
    }
    become_follower(term, std::nullopt, result_code::not_leader);
    return true;
}

/// Answers a message of a lower term, so that the sender learns the current
/// term.
/// @return False: the message is not to be handled.
bool raft_node::answer_stale_term()
{
    auto const from = m_message->from;
    if (auto const* const vote =
            std::get_if<core::vote_request>(&m_message->body))
    {
        send_to(from, core::vote_answer{false, vote->pre_vote});
    }
    else if (std::holds_alternative<core::append_request>(m_message->body) ||
             std::holds_alternative<core::append_fragment>(m_message->body) ||
             std::holds_alternative<core::snapshot_chunk>(m_message->body))
    {
        send_to(from, core::append_answer{});
    }
    return false;
}

bool raft_node::leader_is_alive() const
{
    if (m_role == member_role::leader)
    {
        return quorum_answered_recently();
    }
    return m_last_leader_contact &&
           m_now - *m_last_leader_contact < m_options.election_timeout;
}

bool raft_node::is_up_to_date(core::vote_request const& request) const
{
    return std::pair(request.last_term, request.last_index) >=
           std::pair(m_log.last_term(), m_log.last_index());
}

bool raft_node::has_vote_quorum() const
{
    auto const all = voters();
    auto const count =
        std::count_if(all.begin(),
                      all.end(),
                      [this](auto id) { return m_votes.contains(id); });
    return is_quorum(static_cast<std::size_t>(count));
}

void raft_node::receive(core::vote_request const& body)
{
    auto const from = m_message->from;
    if (body.pre_vote)
    {
        bool const granted =
            m_message->message_term > m_hard_state.current_term &&
            !leader_is_alive() && is_up_to_date(body);
        send_to(from,
                granted ? m_message->message_term : m_hard_state.current_term,
                core::vote_answer{granted, true});
        return;
    }
    bool const may_vote = m_hard_state.voted_for == core::member_id() ||
                          m_hard_state.voted_for == from;
    bool const granted = may_vote && is_up_to_date(body);
    if (granted && m_hard_state.voted_for != from)
    {
        m_hard_state.voted_for = from;
        m_hard_state_dirty = true;
        restart_election_timer();
    }
    send_to(from, core::vote_answer{granted, false});
}

void raft_node::receive(core::vote_answer const& body)
{
    auto const expected_role =
        body.pre_vote ? member_role::pre_candidate : member_role::candidate;
    auto const requested_term =
        core::term(m_hard_state.current_term.value() + body.pre_vote);
    if (!body.granted || m_role != expected_role ||
        m_message->message_term != requested_term)
    {
        return;
    }
    m_votes.insert(m_message->from);
    if (!has_vote_quorum())
    {
        return;
    }
    if (body.pre_vote)
    {
        start_election(false);
    }
    else
    {
        become_leader();
    }
}

void raft_node::receive(core::timeout_now const&)
{
    if (m_role == member_role::follower && may_campaign())
    {
        start_election(true);
    }
}

} // namespace turmericswitch::consensus
