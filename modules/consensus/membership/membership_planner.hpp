#ifndef TURMERICSWITCH_CONSENSUS_MEMBERSHIP_MEMBERSHIP_PLANNER_HPP
#define TURMERICSWITCH_CONSENSUS_MEMBERSHIP_MEMBERSHIP_PLANNER_HPP

#include "consensus/node/raft_events.hpp"
#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <map>
#include <optional>
#include <string_view>

namespace turmericswitch::consensus
{

struct membership_limits
{
    /// More voters would make every commit slower without making data safer.
    std::size_t max_voters = 7;
    /// Time without an answer after which a voter may be removed in favour of
    /// another; longer than a restart of its process.
    core::duration voter_timeout = std::chrono::milliseconds(2500);
    /// The same for a voter that has not answered this leader. Shorter, because
    /// it was silent before for at least as long as the election took.
    core::duration unheard_voter_timeout = std::chrono::milliseconds(1200);
    /// Time without an answer after which no learner is promoted until the
    /// voter answers or is removed; several heartbeat intervals.
    core::duration promotion_hold_timeout = std::chrono::seconds(1);
    /// Time without an answer after which a learner is removed.
    core::duration learner_timeout = std::chrono::seconds(30);
    /// Answering voters and learners that have caught up without which no
    /// voter is removed, so that the group can lose one more member afterwards.
    std::size_t min_available_members = 3;
};

/// What the leader knows from the answers of another member.
struct follower_status
{
    /// Time of the last answer; before the first one, when this leader began to
    /// send to the member.
    core::time_point last_answer;
    /// It has answered this leader.
    bool has_answered = false;
    /// Its log lags by at most `raft_options::promotion_lag` entries and it
    /// answered within an election timeout.
    bool has_caught_up = false;
};

/// The leader's view of its group.
struct membership_view
{
    core::member_id self;
    core::group_membership members;
    /// All members but `self`.
    std::map<core::member_id, follower_status> followers;
};

enum class membership_reason : std::uint8_t
{
    /// A learner has the entries of the group.
    caught_up,
    /// Another member has joined from the same address.
    replaced,
    voter_unresponsive,
    learner_unresponsive,
};

/// @return The name of the reason in logs.
std::string_view to_string(membership_reason reason) noexcept;

struct membership_change
{
    membership_change_kind kind = membership_change_kind::promote;
    core::group_member member;
    membership_reason reason = membership_reason::caught_up;

    bool operator==(membership_change const&) const = default;
};

/// Decides the next membership change that repairs the group, one at a time.
///
/// An instance that lost its disk joins with a new id. As soon as it answers,
/// its former identity is removed: the member with the same address that was
/// added earlier. It becomes a voter when it has caught up. Other voters are
/// removed when they do not answer and enough other members do. So the quorum
/// never counts an instance twice, nor a voter that is known to be lost beside
/// the one that replaces it.
///
/// @return The change, or nothing if the group needs none.
std::optional<membership_change>
next_membership_change(membership_view const& view,
                       membership_limits const& limits,
                       core::time_point now);

} // namespace turmericswitch::consensus

#endif
