#include "consensus/membership/membership_planner.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

using core::group_member;

bool answers(membership_view const& view,
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

/// The voter whose instance has come back with an empty disk, if any: another
/// voter has its address and a larger id, as later joiners do.
std::optional<membership_change> replaced_voter(membership_view const& view)
{
    for (auto const& old : view.members.members)
    {
        for (auto const& other : view.members.members)
        {
            bool const is_successor =
                other.rpc == old.rpc && other.id > old.id && !other.learner;
            if (is_successor && old.id != view.self)
            {
                return membership_change{membership_change_kind::remove, old};
            }
        }
    }
    return std::nullopt;
}

std::optional<membership_change> silent_voter(membership_view const& view,
                                              membership_limits const& limits,
                                              core::time_point now)
{
    std::size_t answering = 0;
    std::optional<group_member> silent;
    for (auto const& member : view.members.members)
    {
        if (member.learner)
        {
            continue;
        }
        if (answers(view, member, limits.voter_timeout, now))
        {
            ++answering;
        }
        else
        {
            silent = member;
        }
    }
    if (!silent || answering < limits.min_answering_voters)
    {
        return std::nullopt;
    }
    return membership_change{membership_change_kind::remove, *silent};
}

} // namespace

std::optional<membership_change>
next_membership_change(membership_view const& view,
                       membership_limits const& limits,
                       core::time_point now)
{
    if (auto step = replaced_voter(view))
    {
        return step;
    }
    if (auto step = silent_voter(view, limits, now))
    {
        return step;
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
        if (!answers(view, member, limits.learner_timeout, now))
        {
            return membership_change{membership_change_kind::remove, member};
        }
        if (voters < limits.max_voters &&
            answers(view, member, limits.voter_timeout, now))
        {
            return membership_change{membership_change_kind::promote, member};
        }
    }
    return std::nullopt;
}

} // namespace turmericswitch::consensus
