#include "consensus/node/raft_node.hpp"

#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;
using core::result_code;

recovered_state bootstrap_state(core::group_membership const& members)
{
    recovered_state state;
    state.hard.current_term = core::term(1);
    state.entries.push_back({core::term(1),
                             log_index(1),
                             core::entry_kind::membership,
                             wire::encode(members)});
    return state;
}

raft_node::raft_node(raft_options options,
                     recovered_state recovered,
                     core::random_source random,
                     core::time_point now)
    : m_options(options),
      m_random(std::move(random)),
      m_now(now),
      m_hard_state(recovered.hard),
      m_log(recovered.snapshot, std::move(recovered.entries)),
      m_persisted_index(m_log.last_index()),
      m_commit_index(m_log.base_index()),
      m_fragments(options.max_uncommitted_bytes),
      m_early(options.max_uncommitted_bytes)
{
    if (recovered.snapshot.last_index.value() > 0)
    {
        m_snapshot = raft_snapshot{std::move(recovered.snapshot),
                                   std::move(recovered.snapshot_data)};
    }
    restart_election_timer();
}

std::vector<action> raft_node::handle(core::time_point now, event const& input)
{
    m_now = std::max(m_now, now);
    std::visit([this](auto const& body) { on(body); }, input);
    flush_hard_state();
    return std::exchange(m_actions, {});
}

member_role raft_node::role() const
{
    return m_role;
}

core::term raft_node::current_term() const
{
    return m_hard_state.current_term;
}

log_index raft_node::commit_index() const
{
    return m_commit_index;
}

std::optional<core::member_id> raft_node::leader() const
{
    return m_leader;
}

std::optional<core::time_point> raft_node::last_leader_contact() const
{
    return m_last_leader_contact;
}

log_index raft_node::last_index() const
{
    return m_log.last_index();
}

core::group_membership const& raft_node::membership() const
{
    return m_log.membership();
}

core::snapshot_metadata raft_node::snapshot_metadata_at(log_index index) const
{
    assert(index <= m_commit_index);
    auto const term = m_log.term_at(index);
    assert(term);
    return {index, *term, m_log.membership_at(index)};
}

void raft_node::on(tick const&)
{
    if (m_halted)
    {
        return;
    }
    if (m_role == member_role::leader)
    {
        if (!quorum_answered_recently())
        {
            become_follower(m_hard_state.current_term,
                            std::nullopt,
                            result_code::no_quorum);
            return;
        }
        if (!give_up_if_stalled())
        {
            tick_leader(m_now >= m_next_heartbeat);
        }
    }
    else if (m_now >= m_election_deadline)
    {
        start_pre_vote();
    }
}

void raft_node::on(message const& input)
{
    m_message = &input.content;
    if (!m_halted && m_message->to == m_options.self &&
        m_message->from != m_options.self && check_term())
    {
        std::visit([this](auto const& body) { receive(body); },
                   m_message->body);
    }
    m_message = nullptr;
}

void raft_node::on(propose const& input)
{
    bool const is_refused = m_role != member_role::leader || m_transfer_target;
    std::vector<core::log_entry> entries;
    auto index = m_log.last_index().value();
    for (auto const& proposal : input.proposals)
    {
        if (is_refused)
        {
            reject(proposal.id, result_code::not_leader);
            continue;
        }
        if (m_uncommitted_bytes > m_options.max_uncommitted_bytes)
        {
            reject(proposal.id, result_code::no_quorum);
            continue;
        }
        m_uncommitted_bytes += proposal.data.size();
        m_tickets.emplace(log_index(++index), proposal.id);
        entries.push_back({m_hard_state.current_term,
                           log_index(index),
                           core::entry_kind::command,
                           proposal.data});
    }
    if (!entries.empty())
    {
        append_entries(std::move(entries));
        replicate_all(false);
    }
}

void raft_node::on(persisted const& input)
{
    if (m_halted || m_log.term_at(input.index) != input.entry_term ||
        input.index <= m_persisted_index)
    {
        return;
    }
    m_persisted_index = input.index;
    if (m_role == member_role::leader)
    {
        update_commit_index();
    }
    else if (m_leader)
    {
        answer_append();
    }
}

void raft_node::on(read_request const& input)
{
    if (m_role != member_role::leader)
    {
        reject(input.id, result_code::not_leader);
        return;
    }
    m_reads.add(input.id);
    update_reads();
}

void raft_node::on(snapshot_taken const& input)
{
    auto const index = input.metadata.last_index;
    if (index > m_commit_index ||
        (m_snapshot && index <= m_snapshot->metadata.last_index))
    {
        return;
    }
    m_snapshot = raft_snapshot{input.metadata, input.data};
    if (index.value() > m_options.retained_entries)
    {
        m_log.compact(log_index(index.value() - m_options.retained_entries));
    }
}

void raft_node::on(storage_failed const&)
{
    become_follower(
        m_hard_state.current_term, std::nullopt, result_code::not_leader);
    // No later state can be made durable, so no message may be sent.
    m_hard_state_dirty = false;
    m_halted = true;
    // The driver may have discarded an earlier change of the role together with
    // the write that failed.
    report_role();
}

void raft_node::on(storage_recovered const& input)
{
    if (!m_halted)
    {
        return;
    }
    raft_node restarted(m_options, input.state, m_random, m_now);
    // The transport may still hold messages of the time before, so their ids
    // must not be used again.
    restarted.m_deliveries = std::move(m_deliveries);
    restarted.m_last_leader_contact = m_last_leader_contact;
    *this = std::move(restarted);
    report_role();
}

void raft_node::on(delivery_ended const& input)
{
    auto const to = m_deliveries.end(input.id);
    if (!to || m_role != member_role::leader)
    {
        return;
    }
    if (auto const found = m_progress.find(*to); found != m_progress.end())
    {
        found->second.record_delivery(input.id, input.answered, m_now);
        replicate_to(*to, false);
    }
}

void raft_node::flush_hard_state()
{
    if (m_hard_state_dirty)
    {
        m_hard_state_dirty = false;
        m_actions.emplace_back(persist_hard_state{m_hard_state});
    }
}

void raft_node::append_entries(std::vector<core::log_entry> entries)
{
    bool changes_membership = false;
    if (m_commit_index == m_log.last_index())
    {
        m_commit_pending_since = m_now;
    }
    for (auto const& entry : entries)
    {
        m_log.append(entry);
        changes_membership |= entry.kind == core::entry_kind::membership;
    }
    emit(append{std::move(entries)});
    if (changes_membership)
    {
        sync_progress();
    }
}

void raft_node::advance_commit_index(log_index index)
{
    if (index <= m_commit_index)
    {
        return;
    }
    apply output;
    for (auto at = m_commit_index.value() + 1; at <= index.value(); ++at)
    {
        applied_entry applied{m_log.at(log_index(at)), std::nullopt};
        if (auto const found = m_tickets.find(log_index(at));
            found != m_tickets.end())
        {
            applied.id = found->second;
            m_tickets.erase(found);
        }
        auto const size = applied.entry.data.size();
        m_uncommitted_bytes -= std::min(m_uncommitted_bytes, size);
        output.entries.push_back(std::move(applied));
    }
    m_commit_index = index;
    m_commit_pending_since = m_now;
    m_fragments.discard_through(index);
    emit(std::move(output));
}

void raft_node::report_role()
{
    emit(role_changed{m_role, m_hard_state.current_term, m_leader});
}

void raft_node::reject(ticket id, result_code code)
{
    emit(rejected{id, code, m_leader});
}

} // namespace turmericswitch::consensus
