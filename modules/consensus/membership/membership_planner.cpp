#include "consensus/membership/membership_planner.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

using core::group_member;

bool has_answered(membership_view const& view, group_member const& member)
{
    auto const known = view.followers.find(member.id);
    return member.id == view.self ||
           (known != view.followers.end() && known->second.has_answered);
}

/// @return True if the leader has received no answer of the member for the
/// given time.
bool is_silent(membership_view const& view,
               group_member const& member,
               core::duration timeout,
               core::time_point now)
{
    if (member.id == view.self)
    {
        return false;
    }
    auto const known = view.followers.find(member.id);
    return known != view.followers.end() &&
           now - known->second.last_answer >= timeout;
}

bool has_caught_up(membership_view const& view, group_member const& member)
{
    auto const known = view.followers.find(member.id);
    return known != view.followers.end() && known->second.has_caught_up;
}

/// @return The removal of a member whose instance lost its disk and has joined
/// again. A member with the same address was added later and answers, so the
/// older identity can't answer any more. It goes before the newer one votes:
/// with both, a quorum needs one more of the others, and if the disk is lost
/// once more the instance counts as two missing voters.
std::optional<membership_change>
removal_of_replaced_member(membership_view const& view)
{
    auto const& members = view.members.members;
    for (auto const& old : members)
    {
        bool const is_replaced =
            std::any_of(members.begin(),
                        members.end(),
                        [&](group_member const& other)
                        {
                            return other.rpc == old.rpc &&
                                   other.added_at > old.added_at &&
                                   has_answered(view, other);
                        });
        if (is_replaced && old.id != view.self)
        {
            return membership_change{membership_change_kind::remove,
                                     old,
                                     membership_reason::replaced};
        }
    }
    return std::nullopt;
}

core::duration timeout_of(membership_view const& view,
                          group_member const& voter,
                          membership_limits const& limits)
{
    return has_answered(view, voter) ? limits.voter_timeout
                                     : limits.unheard_voter_timeout;
}

/// @return The removal of a voter that does not answer, if enough voters and
/// learners that have caught up answer to replace it.
std::optional<membership_change>
removal_of_unresponsive_voter(membership_view const& view,
                              membership_limits const& limits,
                              core::time_point now)
{
    std::size_t available = 0;
    std::optional<group_member> unresponsive;
    for (auto const& member : view.members.members)
    {
        if (member.learner)
        {
            available += has_caught_up(view, member);
        }
        else if (is_silent(view, member, timeout_of(view, member, limits), now))
        {
            unresponsive = member;
        }
        else
        {
            available += has_answered(view, member);
        }
    }
    if (!unresponsive || available < limits.min_available_members)
    {
        return std::nullopt;
    }
    return membership_change{membership_change_kind::remove,
                             *unresponsive,
                             membership_reason::voter_unresponsive};
}

/// @return The promotion of a learner that has caught up. It waits while a
/// voter may be lost, because one more voter would then raise the quorum and
/// not the number of losses that the group bears.
std::optional<membership_change>
promotion_of_learner(membership_view const& view,
                     membership_limits const& limits,
                     core::time_point now)
{
    auto const& members = view.members.members;
    std::size_t voters = 0;
    std::optional<group_member> ready;
    for (auto const& member : members)
    {
        if (member.learner)
        {
            ready = has_caught_up(view, member) && !ready ? member : ready;
            continue;
        }
        ++voters;
        if (!has_answered(view, member) ||
            is_silent(view, member, limits.promotion_hold_timeout, now))
        {
            return std::nullopt;
        }
    }
    if (!ready || voters >= limits.max_voters)
    {
        return std::nullopt;
    }
    return membership_change{
        membership_change_kind::promote, *ready, membership_reason::caught_up};
}

std::optional<membership_change>
removal_of_unresponsive_learner(membership_view const& view,
                                membership_limits const& limits,
                                core::time_point now)
{
    for (auto const& member : view.members.members)
    {
        if (member.learner &&
            is_silent(view, member, limits.learner_timeout, now))
        {
            return membership_change{membership_change_kind::remove,
                                     member,
                                     membership_reason::learner_unresponsive};
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(membership_reason reason) noexcept
{
    switch (reason)
    {
    case membership_reason::caught_up:
        return "caught_up";
    case membership_reason::replaced:
        return "replaced";
    case membership_reason::voter_unresponsive:
        return "voter_unresponsive";
    case membership_reason::learner_unresponsive:
        return "learner_unresponsive";
    }
    return "unknown";
}

std::optional<membership_change>
next_membership_change(membership_view const& view,
                       membership_limits const& limits,
                       core::time_point now)
{
    if (auto change = removal_of_replaced_member(view))
    {
        return change;
    }
    if (auto change = removal_of_unresponsive_voter(view, limits, now))
    {
        return change;
    }
    if (auto change = promotion_of_learner(view, limits, now))
    {
        return change;
    }
    return removal_of_unresponsive_learner(view, limits, now);
}

} // namespace turmericswitch::consensus
