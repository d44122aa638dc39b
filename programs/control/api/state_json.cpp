#include "api/state_json.hpp"

#include "api/group_status_json.hpp"
#include "wire/json/job_json.hpp"
#include "wire/json/json_members.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericswitch::control
{

namespace
{

using json = nlohmann::json;

json job_json(core::job_record const& job)
{
    auto const& description = job.description;
    json object{{"id", job.job.value()},
                {"name", description.name},
                {"team", description.team.value()},
                {"kind", description.kind.value()},
                {"state", std::string(core::to_string(job.state))},
                {"attempt", job.attempt.value()},
                {"failures", job.failures},
                {"last_worker", job.last_worker.value()}};
    if (job.hold)
    {
        object["worker"] = job.hold->worker.value();
        object["reserved"] = wire::resources_to_json(job.hold->reserved);
    }
    if (job.checkpoint)
    {
        object["checkpoint"] = job.checkpoint->value();
    }
    if (job.code != core::result_code::ok)
    {
        object["code"] = static_cast<std::uint16_t>(job.code);
        object["code_name"] = std::string(core::to_string(job.code));
    }
    if (!job.reason.empty())
    {
        object["reason"] = job.reason;
    }
    return object;
}

json counters_json(core::state_counters const& counters)
{
    return {{"stale_reports", counters.stale_reports},
            {"dropped_placements", counters.dropped_placements},
            {"dropped_evictions", counters.dropped_evictions},
            {"stale_expiries", counters.stale_expiries},
            {"resent_commands", counters.resent_commands},
            {"revision_conflicts", counters.revision_conflicts}};
}

json member_json(core::group_member const& member)
{
    return {{"id", member.id.value()},
            {"rpc", to_string(member.rpc)},
            {"http", to_string(member.http)},
            {"learner", member.learner}};
}

json zones_json(control_node& node)
{
    auto const now = process::event_loop::now();
    json list = json::array();
    for (auto const& rule : node.group().state().config().in_force().zones)
    {
        bool const is_out = rule.state == core::zone_state::out_of_service;
        json zone{{"zone", rule.zone.value()},
                  {"region", rule.region.value()},
                  {"state", is_out ? "out" : "in"}};
        if (is_out && node.duties())
        {
            auto const last_expiry =
                node.duties()->last_permit_expiry(rule.zone);
            zone["quiet_in_ms"] = wire::to_milliseconds(
                std::max(last_expiry - now, core::duration::zero()));
        }
        list.push_back(std::move(zone));
    }
    return list;
}

json jobs_by_state_json(control_node& node)
{
    json object = json::object();
    for (std::uint8_t i = 0; i < cluster_state::job_state_count; ++i)
    {
        auto const state = static_cast<core::job_state>(i);
        object[std::string(core::to_string(state))] =
            node.group().state().jobs().in_state(state).size();
    }
    return object;
}

void add_leader_status(control_node& node, json& object)
{
    auto const& duties = node.duties();
    if (!duties)
    {
        return;
    }
    auto const now = process::event_loop::now();
    json processes = json::array();
    for (auto const& [name, report] : duties->processes())
    {
        processes.push_back(
            {{"name", name.value()},
             {"in_force", report.in_force.value()},
             {"age_ms", wire::to_milliseconds(now - report.received)}});
    }
    auto const counts = duties->planner_counts();
    object["processes"] = std::move(processes);
    object["backends"] = duties->backends();
    object["placement"] = {{"queued", counts.queued},
                           {"workers", counts.workers},
                           {"quarantined", counts.quarantined},
                           {"learned_pairs", counts.learned_pairs},
                           {"learned_sizes", counts.learned_sizes}};
}

} // namespace

std::string status_to_json(control_node& node)
{
    auto& group = node.group();
    json object{{"member", group.self().value()},
                {"term", group.current_term().value()},
                {"leading", group.is_leading()},
                {"commit_index", group.commit_index().value()},
                {"applied_index", group.applied_index().value()},
                {"revision", group.state().config().current().value()},
                {"storage_failed", !group.storage_failure().empty()},
                {"storage_failure", group.storage_failure()},
                {"zones", zones_json(node)},
                {"jobs", jobs_by_state_json(node)},
                {"workers", group.state().workers().all().size()},
                {"counters", counters_json(group.state().counters())}};
    if (auto const leader = group.leader())
    {
        object["leader"] = member_json(*leader);
    }
    if (auto const view = group.group_view())
    {
        object["group"] = group_status_json(*view, process::event_loop::now());
    }
    add_leader_status(node, object);
    return object.dump();
}

std::string rules_to_json(control_node& node)
{
    auto const& config = node.group().state().config();
    return json{{"revision", config.current().value()}, {"text", config.text()}}
        .dump();
}

std::string history_to_json(control_node& node, std::size_t limit)
{
    auto const& history = node.group().state().config().history();
    json list = json::array();
    for (auto change = history.rbegin();
         change != history.rend() && list.size() < limit;
         ++change)
    {
        list.push_back({{"revision", change->made.value()},
                        {"author", change->author.value()},
                        {"requested_by", change->requested_by},
                        {"time", wire::wall_time_to_text(change->wall)},
                        {"change", change->text}});
    }
    return json{{"changes", std::move(list)}}.dump();
}

std::string jobs_to_json(control_node& node,
                         std::optional<core::job_state> state,
                         std::size_t limit)
{
    auto const& jobs = node.group().state().jobs();
    json list = json::array();
    if (state)
    {
        for (auto const id : jobs.in_state(*state))
        {
            if (list.size() == limit)
            {
                break;
            }
            list.push_back(job_json(*jobs.find(id)));
        }
    }
    else
    {
        for (auto const& [id, job] : jobs.all())
        {
            if (list.size() == limit)
            {
                break;
            }
            list.push_back(job_json(job));
        }
    }
    return json{{"jobs", std::move(list)}}.dump();
}

std::string job_to_json(core::job_record const& job)
{
    return job_json(job).dump();
}

std::string members_to_json(control_node& node)
{
    json list = json::array();
    for (auto const& member : node.group().membership().members)
    {
        list.push_back(member_json(member));
    }
    return json{{"members", std::move(list)}}.dump();
}

std::string reply_to_json(core::command_reply const& reply)
{
    json object{{"code", static_cast<std::uint16_t>(reply.code)},
                {"name", std::string(core::to_string(reply.code))},
                {"text", reply.text},
                {"revision", reply.current.value()}};
    if (reply.winner)
    {
        object["winner"] = reply.winner->value();
    }
    json ids = json::array();
    for (auto const id : reply.jobs)
    {
        ids.push_back(id.value());
    }
    if (!ids.empty())
    {
        object["jobs"] = std::move(ids);
    }
    return object.dump();
}

} // namespace turmericswitch::control
