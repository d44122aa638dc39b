#ifndef TURMERICSWITCH_CONSENSUS_NODE_RAFT_EVENTS_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_RAFT_EVENTS_HPP

#include "core/messages/consensus.hpp"
#include "core/results/result_code.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::consensus
{

/// Names a proposal, read or change of the shell; never sent to others.
using ticket = core::strong_id<struct ticket_tag, std::uint64_t>;

// Events

/// Time passed. Send it at least twice per heartbeat interval.
struct tick
{
};

/// A message of another member arrived.
struct message
{
    core::consensus_message content;
};

struct proposal
{
    ticket id;
    std::string data;
};

/// Proposals that go into the log as one batch.
struct propose
{
    std::vector<proposal> proposals;
};

/// All entries up to `index` are synced. The term tells an entry from an
/// earlier one at the same index that was truncated meanwhile.
struct persisted
{
    core::log_index index;
    core::term entry_term;
};

/// Asks for an index that covers all proposals acknowledged before.
struct read_request
{
    ticket id;
};

enum class membership_change_kind : std::uint8_t
{
    add_learner,
    promote,
    remove,
};

struct change_membership
{
    ticket id;
    membership_change_kind kind = membership_change_kind::add_learner;
    /// Only the id is read unless a learner is added.
    core::group_member member;
};

/// The shell has made a snapshot of applied entries durable.
struct snapshot_taken
{
    core::snapshot_metadata metadata;
    std::shared_ptr<std::string const> data;
};

/// The instance is about to stop: a leader hands over to the most advanced
/// follower.
struct transfer_leadership
{
};

/// A write or sync failed. The node steps down and stays silent until the
/// process is restarted.
struct storage_failed
{
};

using event = std::variant<tick,
                           message,
                           propose,
                           persisted,
                           read_request,
                           change_membership,
                           snapshot_taken,
                           transfer_leadership,
                           storage_failed>;

// Actions. The shell carries them out in order. `persist_hard_state`,
// `truncate` and `install_snapshot` must be durable before the next action;
// when one fails, the shell drops the rest and sends `storage_failed`.

struct send
{
    core::consensus_message content;
};

struct persist_hard_state
{
    core::hard_state state;
};

/// Store the entries and report `persisted` once they are synced.
struct append
{
    std::vector<core::log_entry> entries;
};

/// Remove all entries from `from` on.
struct truncate
{
    core::log_index from;
};

struct applied_entry
{
    core::log_entry entry;
    /// Set at the leader that accepted the proposal or change.
    std::optional<ticket> id;
};

/// Committed entries in order. Each is given once per life of the node.
struct apply
{
    std::vector<applied_entry> entries;
};

/// Make the snapshot durable, replace the whole log by it and restore the
/// state machine from it.
struct install_snapshot
{
    core::snapshot_metadata metadata;
    std::string data;
};

/// The read may be answered once entries up to `index` are applied.
struct read_ready
{
    ticket id;
    core::log_index index;
};

/// The proposal, read or change was not accepted, or with `outcome_unknown`
/// it may still be committed by another leader.
struct rejected
{
    ticket id;
    core::result_code code = core::result_code::not_leader;
    std::optional<core::member_id> leader;
};

enum class member_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

struct role_changed
{
    member_role role = member_role::follower;
    core::term current_term;
    std::optional<core::member_id> leader;
};

using action = std::variant<send,
                            persist_hard_state,
                            append,
                            truncate,
                            apply,
                            install_snapshot,
                            read_ready,
                            rejected,
                            role_changed>;

} // namespace turmericswitch::consensus

#endif
