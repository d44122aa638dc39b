#ifndef TURMERICSWITCH_CONSENSUS_NODE_RAFT_EVENTS_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_RAFT_EVENTS_HPP

#include "consensus/node/raft_options.hpp"
#include "core/messages/consensus.hpp"
#include "core/results/result_code.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::consensus
{

/// Identifies a pending proposal, read or membership change between the driver
/// and its node; never sent to other members.
using ticket = core::strong_id<struct ticket_tag, std::uint64_t>;

/// Identifies a message with payload between the node and its transport; never
/// sent to other members. 0 for messages whose delivery is not tracked.
using delivery_id = core::strong_id<struct delivery_id_tag, std::uint64_t>;

// Events

/// Advances timeouts. Must be sent at least twice per heartbeat interval.
struct tick
{
};

/// A message from another member was received.
struct message
{
    core::consensus_message content;
};

struct proposal
{
    ticket id;
    std::string data;
};

/// Proposals that the leader appends to the log as one batch.
struct propose
{
    std::vector<proposal> proposals;
};

/// All entries up to `index` are synced to disk. The term distinguishes the
/// entry from an earlier one at the same index that was truncated meanwhile.
struct persisted
{
    core::log_index index;
    core::term entry_term;
};

/// Linearizable read (ReadIndex): requests an index that covers all proposals
/// acknowledged before this event.
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
    /// Only the id is used, except for `add_learner`.
    core::group_member member;
};

/// The driver has made a snapshot of the applied entries durable.
struct snapshot_taken
{
    core::snapshot_metadata metadata;
    std::shared_ptr<std::string const> data;
};

/// Transfers leadership to the most up-to-date follower, because this instance
/// is about to stop. Ignored unless this node leads.
struct transfer_leadership
{
};

/// A write or sync failed. The node steps down and sends no more messages
/// until `storage_recovered`.
struct storage_failed
{
};

/// The stores work again after `storage_failed`. The node continues as after a
/// restart, with what was read back from them.
struct storage_recovered
{
    recovered_state state;
};

/// The transport no longer holds the message of a tracked `send`.
struct delivery_ended
{
    delivery_id id;
    /// True if the peer has received the message. False if the call failed,
    /// timed out, or its connection ended.
    bool answered = false;
};

using event = std::variant<tick,
                           message,
                           propose,
                           persisted,
                           read_request,
                           change_membership,
                           snapshot_taken,
                           transfer_leadership,
                           storage_failed,
                           storage_recovered,
                           delivery_ended>;

// Actions. The driver executes them in order. `persist_hard_state`, `truncate`
// and `install_snapshot` must be durable before the next action; if one fails,
// the driver discards the remaining actions and sends `storage_failed`.

/// Sends a message to another member; it may be lost.
struct send
{
    core::consensus_message content;
    /// If not 0, the driver sends one `delivery_ended` with this id when the
    /// transport no longer holds the message.
    delivery_id delivery;
};

struct persist_hard_state
{
    core::hard_state state;
};

/// Stores the entries. The driver sends `persisted` once they are synced.
struct append
{
    std::vector<core::log_entry> entries;
};

/// Removes all entries from index `from` on.
struct truncate
{
    core::log_index from;
};

struct applied_entry
{
    core::log_entry entry;
    /// Set only on the leader that accepted the proposal or change.
    std::optional<ticket> id;
};

/// Committed entries in log order. Each entry is returned once in the lifetime
/// of a node.
struct apply
{
    std::vector<applied_entry> entries;
};

/// Makes the snapshot durable, replaces the whole log with it and restores the
/// replicated state from it.
struct install_snapshot
{
    core::snapshot_metadata metadata;
    std::string data;
};

/// The read may be answered once all entries up to `index` are applied.
struct read_ready
{
    ticket id;
    core::log_index index;
};

/// The proposal, read or change was not accepted. With `outcome_unknown` it was
/// appended and may still be committed by another leader.
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

/// This leader handed over, because it could not commit although its peers
/// answered. `role_changed` follows.
struct leadership_given_up
{
    core::member_id successor;
    /// Time since the last commit, or since the oldest uncommitted entry.
    core::duration stalled{};
};

using action = std::variant<send,
                            persist_hard_state,
                            append,
                            truncate,
                            apply,
                            install_snapshot,
                            read_ready,
                            rejected,
                            role_changed,
                            leadership_given_up>;

} // namespace turmericswitch::consensus

#endif
