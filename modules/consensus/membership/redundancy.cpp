#include "consensus/membership/redundancy.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

bool answers(replication_status const& status,
             redundancy_limits const& limits,
             core::time_point now)
{
    return status.has_answered &&
           now - status.last_answer < limits.answer_timeout;
}

} // namespace

std::uint64_t lag_of(replication_status const& status,
                     core::log_index last_index) noexcept
{
    auto const last = last_index.value();
    return last - std::min(last, status.match.value());
}

redundancy redundancy_of(group_view const& view,
                         redundancy_limits const& limits,
                         core::time_point now)
{
    redundancy result;
    std::size_t current = 0;
    for (auto const& member : view.members.members)
    {
        if (member.learner)
        {
            ++result.members_without_vote;
            continue;
        }
        ++result.voters;
        if (member.id == view.self)
        {
            ++result.answering_voters;
            ++current;
            continue;
        }
        auto const status =
            std::find_if(view.others.begin(),
                         view.others.end(),
                         [&member](replication_status const& each)
                         { return each.member == member.id; });
        if (status != view.others.end() && answers(*status, limits, now))
        {
            ++result.answering_voters;
            current += lag_of(*status, view.last_index) <= limits.max_lag;
        }
    }
    auto const quorum = result.voters / 2 + 1;
    result.losses_borne = current - std::min(current, quorum);
    return result;
}

} // namespace turmericswitch::consensus
