#ifndef TURMERICSWITCH_CONSENSUS_MEMBERSHIP_REDUNDANCY_HPP
#define TURMERICSWITCH_CONSENSUS_MEMBERSHIP_REDUNDANCY_HPP

#include "consensus/node/replication_status.hpp"
#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace turmericswitch::consensus
{

/// The leader's view of its group and of how far the others have its log.
struct group_view
{
    core::member_id self;
    core::group_membership members;
    /// Index of the last entry in the leader's log.
    core::log_index last_index;
    /// All members but `self`.
    std::vector<replication_status> others;
};

struct redundancy_limits
{
    /// A member that is more entries than this behind doesn't count, because
    /// it would hold up commits after a loss. Equals the default of
    /// `raft_options::promotion_lag`.
    std::uint64_t max_lag = 100;
    /// Time without an answer after which a member doesn't count; several
    /// heartbeat intervals.
    core::duration answer_timeout = std::chrono::seconds(1);
};

/// How many losses of members a group bears.
struct redundancy
{
    std::size_t voters = 0;
    /// Voters that answer, with the leader.
    std::size_t answering_voters = 0;
    /// Learners, which don't count in the quorum.
    std::size_t members_without_vote = 0;
    /// Further voters that may be lost without losing the quorum: those that
    /// answer and have caught up, less the quorum.
    std::size_t losses_borne = 0;

    bool operator==(redundancy const&) const = default;
};

/// @return Entries that the leader has and the member is not known to have.
std::uint64_t lag_of(replication_status const& status,
                     core::log_index last_index) noexcept;

/// @param now Clock of `replication_status::last_answer`.
redundancy redundancy_of(group_view const& view,
                         redundancy_limits const& limits,
                         core::time_point now);

} // namespace turmericswitch::consensus

#endif
