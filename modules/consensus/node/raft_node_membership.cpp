#include "consensus/node/raft_node.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

using core::group_member;
using core::log_index;
using core::result_code;

std::vector<core::member_id> raft_node::voters() const
{
    std::vector<core::member_id> found;
    for (auto const& member : m_log.membership().members)
    {
        if (!member.learner)
        {
            found.push_back(member.id);
        }
    }
    return found;
}

bool raft_node::is_voter(core::member_id id) const
{
    auto const all = voters();
    return std::find(all.begin(), all.end(), id) != all.end();
}

/// A leader that has appended its own removal may have the most up-to-date log.
/// It stays electable until that entry is known to be committed, because the
/// others may need its vote and it would refuse candidates with shorter logs.
bool raft_node::may_campaign() const
{
    auto const since = m_log.membership_index();
    if (is_voter(m_options.self) || since <= m_commit_index ||
        since <= m_log.base_index())
    {
        return is_voter(m_options.self);
    }
    auto const& before =
        m_log.membership_at(log_index(since.value() - 1)).members;
    return std::any_of(before.begin(),
                       before.end(),
                       [this](group_member const& member) {
                           return member.id == m_options.self &&
                                  !member.learner;
                       });
}

bool raft_node::is_quorum(std::size_t count) const
{
    return count > voters().size() / 2;
}

/// Adds and removes entries of `m_progress` to match the newest membership.
void raft_node::sync_progress()
{
    if (m_role != member_role::leader)
    {
        return;
    }
    auto const& members = m_log.membership().members;
    std::erase_if(m_progress,
                  [&members](auto const& item)
                  {
                      return std::none_of(members.begin(),
                                          members.end(),
                                          [&item](group_member const& member)
                                          { return member.id == item.first; });
                  });
    auto const next = log_index(m_log.last_index().value() + 1);
    for (auto const& member : members)
    {
        if (member.id != m_options.self)
        {
            m_progress.try_emplace(member.id, next, m_now);
        }
    }
}

void raft_node::on(change_membership const& input)
{
    if (auto const code = check_change(input))
    {
        reject(input.id, *code);
        return;
    }
    auto const index = log_index(m_log.last_index().value() + 1);
    m_tickets.emplace(index, input.id);
    append_entries({{m_hard_state.current_term,
                     index,
                     core::entry_kind::membership,
                     wire::encode(membership_after(input))}});
    replicate_all(false);
}

std::optional<result_code>
raft_node::check_change(change_membership const& change) const
{
    if (m_role != member_role::leader || m_transfer_target)
    {
        return result_code::not_leader;
    }
    // A leader that has not committed an entry of its own term may not know of
    // a membership change that its predecessor began.
    if (!own_term_committed() || m_log.membership_index() > m_commit_index)
    {
        return result_code::membership_change_in_progress;
    }
    auto const& members = m_log.membership().members;
    bool const known = std::any_of(members.begin(),
                                   members.end(),
                                   [&change](group_member const& member)
                                   { return member.id == change.member.id; });
    if (change.kind == membership_change_kind::add_learner)
    {
        return known ? std::optional(result_code::membership_change_in_progress)
                     : std::nullopt;
    }
    if (!known)
    {
        return result_code::unknown_member;
    }
    if (change.kind == membership_change_kind::remove)
    {
        bool const last = is_voter(change.member.id) && voters().size() == 1;
        return last ? std::optional(result_code::no_quorum) : std::nullopt;
    }
    auto const found = m_progress.find(change.member.id);
    bool const ready =
        found != m_progress.end() && has_caught_up(found->second);
    return ready ? std::nullopt : std::optional(result_code::not_ready);
}

/// @return True if the member would hold up no commit as a voter.
bool raft_node::has_caught_up(follower_progress const& progress) const
{
    auto const last = m_log.last_index().value();
    return progress.match() > log_index() &&
           progress.match().value() + m_options.promotion_lag >= last &&
           m_now - progress.last_answer() < m_options.election_timeout;
}

core::group_membership
raft_node::membership_after(change_membership const& change) const
{
    auto result = m_log.membership();
    auto& members = result.members;
    // The first members of older groups are in the order of their settings.
    auto const at = std::find_if(members.begin(),
                                 members.end(),
                                 [&change](group_member const& member)
                                 { return member.id == change.member.id; });
    switch (change.kind)
    {
    case membership_change_kind::add_learner:
        members.push_back(change.member);
        members.back().learner = true;
        members.back().added_at = log_index(m_log.last_index().value() + 1);
        std::sort(members.begin(),
                  members.end(),
                  [](group_member const& one, group_member const& other)
                  { return one.id < other.id; });
        break;
    case membership_change_kind::promote:
        at->learner = false;
        break;
    case membership_change_kind::remove:
        members.erase(at);
        break;
    }
    return result;
}

std::uint64_t raft_node::pending_entries() const
{
    return m_log.last_index().value() - m_commit_index.value();
}

std::vector<replication_status> raft_node::replication() const
{
    std::vector<replication_status> all;
    for (auto const& [id, progress] : m_progress)
    {
        all.push_back({id,
                       is_voter(id),
                       progress.has_answered(),
                       has_caught_up(progress),
                       progress.last_answer(),
                       progress.match(),
                       m_deliveries.bytes_to(id) + progress.delivered_bytes(),
                       m_deliveries.oldest_to(id)});
    }
    return all;
}

void raft_node::step_down_if_removed()
{
    if (m_role != member_role::leader || is_voter(m_options.self) ||
        m_log.membership_index() > m_commit_index)
    {
        return;
    }
    // Tells the other members the commit index before this leader steps down.
    replicate_all(true);
    become_follower(
        m_hard_state.current_term, std::nullopt, result_code::not_leader);
}

} // namespace turmericswitch::consensus
