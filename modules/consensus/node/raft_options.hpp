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

/// Timeouts and limits of one node. All members of a group must use the same
/// timeouts.
struct raft_options
{
    core::member_id self;
    /// Lower bound of the randomized election timeout, which lies between one
    /// and two times this value. Must be many times the 24 ms round trip
    /// between regions.
    core::duration election_timeout = std::chrono::milliseconds(500);
    core::duration heartbeat_interval = std::chrono::milliseconds(100);
    /// Maximum bytes of entries in one append message; a larger entry is sent
    /// in fragments. Takes 9 ms on the 60 Mbit/s between regions.
    std::size_t max_message_bytes = 64U * 1024U;
    /// Maximum bytes per follower that the transport holds or that are
    /// unacknowledged. The link between regions carries 180 KB per round trip
    /// for all followers, so two messages for each keep it busy.
    std::size_t max_in_flight_bytes = 128U * 1024U;
    /// Maximum bytes that the transport holds for all followers. Takes 70 ms on
    /// the link between regions, less than a heartbeat interval. A follower for
    /// which nothing is in flight gets one message above this.
    std::size_t max_total_in_flight_bytes = 512U * 1024U;
    /// Proposals are refused above this many uncommitted bytes.
    std::size_t max_uncommitted_bytes = 32U * 1024U * 1024U;
    /// A leader whose entries are not committed for this long, although a
    /// quorum answers, hands over. Longer than a large entry takes on an
    /// overloaded link, and shorter than the workers' leases of 6 s.
    core::duration commit_stall_timeout = std::chrono::seconds(5);
    std::size_t snapshot_chunk_bytes = 64U * 1024U;
    /// Entries before the newest snapshot that stay in memory, so that slow
    /// followers can catch up without a snapshot.
    std::uint64_t retained_entries = 10000;
    /// A learner that is more entries than this behind is not promoted.
    std::uint64_t promotion_lag = 100;
};

/// The durable state that the store loaded at process start.
struct recovered_state
{
    core::hard_state hard;
    /// Index 0 when there is no snapshot.
    core::snapshot_metadata snapshot;
    std::shared_ptr<std::string const> snapshot_data;
    /// Entries of the log; those that the snapshot covers are skipped.
    std::vector<core::log_entry> entries;
};

/// Returns the initial state of all members of a new group: the membership as
/// a committed entry 1 of term 1. Its entries and hard state must be durable
/// before the `raft_node` is constructed.
recovered_state bootstrap_state(core::group_membership const& members);

} // namespace turmericswitch::consensus

#endif
