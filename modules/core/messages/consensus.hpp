#ifndef TURMERICSWITCH_CORE_MESSAGES_CONSENSUS_HPP
#define TURMERICSWITCH_CORE_MESSAGES_CONSENSUS_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::core
{

/// One member of the consensus group.
struct group_member
{
    member_id id;
    /// Where it listens for other processes of the system.
    endpoint rpc;
    /// Where it listens for operators and workers.
    endpoint http;
    /// A learner receives the log but does not vote.
    bool learner = false;
    /// Index of the entry that added it; 0 for the first members of a group and
    /// for members that an earlier release added. Of two members with one
    /// address, the one added later has replaced the other one. Ids do not
    /// order members.
    log_index added_at{};

    auto operator<=>(group_member const&) const = default;
};

/// The members of the group, sorted by id.
struct group_membership
{
    std::vector<group_member> members;

    bool operator==(group_membership const&) const = default;
};

enum class entry_kind : std::uint8_t
{
    /// Appended by a new leader to commit entries of earlier terms.
    no_operation,
    command,
    membership,
};

/// One entry of the replicated log. `data` is an encoded command envelope or
/// an encoded `group_membership`.
struct log_entry
{
    term entry_term;
    log_index index;
    entry_kind kind = entry_kind::no_operation;
    std::string data;

    bool operator==(log_entry const&) const = default;
};

/// What a member must have synced before it answers.
struct hard_state
{
    term current_term;
    /// 0 when no vote was given in this term.
    member_id voted_for;

    bool operator==(hard_state const&) const = default;
};

/// Describes what a snapshot covers.
struct snapshot_metadata
{
    log_index last_index;
    term last_term;
    group_membership membership;

    bool operator==(snapshot_metadata const&) const = default;
};

struct vote_request
{
    log_index last_index;
    term last_term;
    bool pre_vote = false;
    /// Set when the leader itself handed over; the vote is then not refused
    /// because a leader is alive.
    bool transfer = false;

    bool operator==(vote_request const&) const = default;
};

struct vote_answer
{
    bool granted = false;
    bool pre_vote = false;

    bool operator==(vote_answer const&) const = default;
};

struct append_request
{
    log_index previous_index;
    term previous_term;
    std::vector<log_entry> entries;
    log_index commit_index;
    /// Echoed in the answer; confirms leadership for reads.
    std::uint64_t round = 0;

    bool operator==(append_request const&) const = default;
};

struct append_answer
{
    bool success = false;
    /// Last index known to match, or a hint where to continue.
    log_index match_index;
    std::uint64_t round = 0;

    bool operator==(append_answer const&) const = default;
};

struct snapshot_chunk
{
    snapshot_metadata metadata;
    std::uint64_t offset = 0;
    std::string data;
    bool last = false;

    bool operator==(snapshot_chunk const&) const = default;
};

struct snapshot_answer
{
    log_index last_index;
    /// Bytes received so far; the next chunk starts here.
    std::uint64_t next_offset = 0;
    bool installed = false;

    bool operator==(snapshot_answer const&) const = default;
};

/// Tells the most advanced follower to start an election at once, because the
/// leader is about to stop.
struct timeout_now
{
    bool operator==(timeout_now const&) const = default;
};

/// Part of an entry that is too large for one message. The entry follows the
/// one at `index` - 1.
struct append_fragment
{
    log_index index;
    term previous_term;
    term entry_term;
    entry_kind kind = entry_kind::no_operation;
    /// Bytes of the entry's whole data.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string data;
    log_index commit_index;
    std::uint64_t round = 0;

    bool operator==(append_fragment const&) const = default;
};

/// Acknowledges one fragment, which the follower holds in memory. An
/// `append_answer` follows once the entry is complete.
struct fragment_answer
{
    log_index index;
    std::uint64_t offset = 0;
    std::uint64_t round = 0;

    bool operator==(fragment_answer const&) const = default;
};

/// `/raft`: one message between members.
struct consensus_message
{
    member_id from;
    member_id to;
    term message_term;
    std::variant<vote_request,
                 vote_answer,
                 append_request,
                 append_answer,
                 snapshot_chunk,
                 snapshot_answer,
                 timeout_now,
                 append_fragment,
                 fragment_answer>
        body;
    /// Where the sender listens for other processes. Set in requests, because
    /// a receiver that lacks the newest entries may not know its address.
    std::optional<endpoint> sender{};

    bool operator==(consensus_message const&) const = default;
};

/// Asks the leader to take an instance into its group.
struct join_request
{
    group_member member;

    bool operator==(join_request const&) const = default;
};

struct join_answer
{
    result_code code = result_code::ok;
    /// RPC endpoint of the leader, if known.
    std::optional<endpoint> leader;
    group_membership members;

    bool operator==(join_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
