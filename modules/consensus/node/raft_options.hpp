#ifndef TURMERICSWITCH_CONSENSUS_NODE_RAFT_OPTIONS_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_RAFT_OPTIONS_HPP

#include "core/messages/consensus.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <memory>
#include <string>
#include <vector>

namespace turmericswitch::consensus
{

/// Times and limits of one node; the times must be equal in a group.
struct raft_options
{
    core::member_id self;
    /// Shortest wait for a leader; the actual wait is drawn from one to two
    /// times this value. It must be many times the 24 ms round trip between
    /// regions.
    core::duration election_timeout = std::chrono::milliseconds(500);
    core::duration heartbeat_interval = std::chrono::milliseconds(100);
    /// Entry bytes per append message.
    std::size_t max_message_bytes = 256U * 1024U;
    /// Unacknowledged entry bytes per follower. The slow link carries about
    /// 90 KB per round trip, so this keeps it busy without a long queue.
    std::size_t max_in_flight_bytes = 1024U * 1024U;
    /// Proposals are refused above this many uncommitted bytes.
    std::size_t max_uncommitted_bytes = 32U * 1024U * 1024U;
    std::size_t snapshot_chunk_bytes = 256U * 1024U;
    /// Entries kept in memory behind a snapshot for slow followers.
    std::uint64_t retained_entries = 10000;
    /// A learner that lacks more entries than this isn't promoted.
    std::uint64_t promotion_lag = 100;
};

/// What the store found at start.
struct recovered_state
{
    core::hard_state hard;
    /// Index 0 when there is no snapshot.
    core::snapshot_metadata snapshot;
    std::shared_ptr<std::string const> snapshot_data;
    /// Entries of the log; those that the snapshot covers are skipped.
    std::vector<core::log_entry> entries;
};

/// The state with which all first members of a new group start: the
/// membership as a committed entry 1 of term 1. Store its entries and hard
/// state durably before the node is made.
recovered_state bootstrap_state(core::group_membership const& members);

} // namespace turmericswitch::consensus

#endif
