#include "consensus/membership/membership_planner.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

using core::group_member;

bool has_answered(membership_view const& view,
                  group_member const& member,
                  core::duration timeout,
                  core::time_point now)
{
    if (member.id == view.self)
    {
        return true;
    }
    auto const known = view.last_answers.find(member.id);
    return known != view.last_answers.end() && now - known->second < timeout;
}

/// @return The removal of a voter whose instance lost its disk and has joined
/// again: another voter has the same address and a larger id, as later joiners
/// get larger ids.
std::optional<membership_change>
removal_of_replaced_voter(membership_view const& view)
{
    for (auto const& old : view.members.members)
    {
        for (auto const& other : view.members.members)
        {
            bool const is_successor =
                other.rpc == old.rpc && other.id > old.id && !other.learner;
            if (is_successor && old.id != view.self)
            {
                return membership_change{membership_change_kind::remove,
                                         old,
                                         membership_reason::replaced};
            }
        }
    }
    return std::nullopt;
}

std::optional<membership_change>
removal_of_unresponsive_voter(membership_view const& view,
                              membership_limits const& limits,
                              core::time_point now)
{
    std::size_t answering = 0;
    std::optional<group_member> unresponsive;
    for (auto const& member : view.members.members)
    {
        if (member.learner)
        {
            continue;
        }
        if (has_answered(view, member, limits.voter_timeout, now))
        {
            ++answering;
        }
        else
        {
            unresponsive = member;
        }
    }
    if (!unresponsive || answering < limits.min_answering_voters)
    {
        return std::nullopt;
    }
    return membership_change{membership_change_kind::remove,
                             *unresponsive,
                             membership_reason::voter_unresponsive};
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
    if (auto change = removal_of_replaced_voter(view))
    {
        return change;
    }
    if (auto change = removal_of_unresponsive_voter(view, limits, now))
    {
        return change;
    }
    auto const& members = view.members.members;
    auto const voters = static_cast<std::size_t>(
        std::count_if(members.begin(),
                      members.end(),
                      [](group_member const& each) { return !each.learner; }));
    for (auto const& member : members)
    {
        if (!member.learner)
        {
            continue;
        }
        if (!has_answered(view, member, limits.learner_timeout, now))
        {
            return membership_change{membership_change_kind::remove,
                                     member,
                                     membership_reason::learner_unresponsive};
        }
        if (voters < limits.max_voters &&
            has_answered(view, member, limits.voter_timeout, now))
        {
            return membership_change{membership_change_kind::promote,
                                     member,
                                     membership_reason::caught_up};
        }
    }
    return std::nullopt;
}

} // namespace turmericswitch::consensus
