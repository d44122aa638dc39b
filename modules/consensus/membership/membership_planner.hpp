#ifndef TURMERICSWITCH_CONSENSUS_MEMBERSHIP_MEMBERSHIP_PLANNER_HPP
#define TURMERICSWITCH_CONSENSUS_MEMBERSHIP_MEMBERSHIP_PLANNER_HPP

#include "consensus/node/raft_events.hpp"
#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <map>
#include <optional>

namespace turmericswitch::consensus
{

struct membership_limits
{
    /// More voters make every commit slower and keep no more data safe.
    std::size_t max_voters = 7;
    /// Silence after which a voter may leave for another; longer than a
    /// restart of its process.
    core::duration voter_timeout = std::chrono::milliseconds(2500);
    /// Silence after which a learner is dropped.
    core::duration learner_timeout = std::chrono::seconds(30);
    /// Voters that must answer before a silent one is removed, so that the
    /// group then bears the loss of one more.
    std::size_t min_answering_voters = 3;
};

/// What the leader knows of its group.
struct membership_view
{
    core::member_id self;
    core::group_membership members;
    /// When each other member last answered.
    std::map<core::member_id, core::time_point> last_answers;
};

struct membership_change
{
    membership_change_kind kind = membership_change_kind::promote;
    core::group_member member;

    bool operator==(membership_change const&) const = default;
};

/// Decides the next change of a group that repairs itself.
///
/// An instance that lost its disk joins with a new id. It becomes a voter when
/// it has caught up (the node refuses to promote it earlier), and only then the
/// voter that it replaces leaves: the one with the same address, whose disk is
/// gone for certain, or one that is silent while enough others answer. One
/// change at a time.
///
/// @return Nothing if the group needs no change.
std::optional<membership_change>
next_membership_change(membership_view const& view,
                       membership_limits const& limits,
                       core::time_point now);

} // namespace turmericswitch::consensus

#endif
