#include "api/group_status_json.hpp"

#include "wire/json/json_members.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericswitch::control
{

namespace
{

using json = nlohmann::json;

char const* role_of(core::group_member const& member, core::member_id leader)
{
    if (member.id == leader)
    {
        return "leader";
    }
    return member.learner ? "learner" : "voter";
}

json member_status_json(core::group_member const& member,
                        consensus::group_view const& view,
                        core::time_point now)
{
    json object{{"id", member.id.value()},
                {"rpc", to_string(member.rpc)},
                {"http", to_string(member.http)},
                {"role", role_of(member, view.self)},
                {"lag", 0}};
    auto const status =
        std::find_if(view.others.begin(),
                     view.others.end(),
                     [&member](consensus::replication_status const& each)
                     { return each.member == member.id; });
    if (status != view.others.end())
    {
        object["lag"] = consensus::lag_of(*status, view.last_index);
        object["answered"] = status->has_answered;
        object["answer_ms"] = wire::to_milliseconds(now - status->last_answer);
    }
    return object;
}

} // namespace

json group_status_json(consensus::group_view const& view, core::time_point now)
{
    auto const redundancy = consensus::redundancy_of(view, {}, now);
    json members = json::array();
    for (auto const& member : view.members.members)
    {
        members.push_back(member_status_json(member, view, now));
    }
    return {{"voters", redundancy.voters},
            {"answering_voters", redundancy.answering_voters},
            {"members_without_vote", redundancy.members_without_vote},
            {"losses_borne", redundancy.losses_borne},
            {"members", std::move(members)}};
}

} // namespace turmericswitch::control
