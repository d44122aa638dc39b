#include "answers/control_answers.hpp"

#include "core/results/last_reason.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using json = nlohmann::json;

template <typename Read>
auto parse_answer(std::string const& body, Read read)
    -> std::optional<decltype(read(json{}))>
{
    try
    {
        return read(json::parse(body));
    }
    catch (json::exception const& error)
    {
        return core::fail(core::result_code::message_malformed,
                          std::string("control's answer does not have the "
                                      "format that this version expects: ") +
                              error.what());
    }
}

template <typename T>
std::vector<T>
read_list(json const& document, char const* name, T (*read)(json const&))
{
    std::vector<T> list;
    for (auto const& item : document.at(name))
    {
        list.push_back(read(item));
    }
    return list;
}

template <typename T>
void read_field(json const& object, char const* name, T& value)
{
    object.at(name).get_to(value);
}

change_view read_change(json const& object)
{
    change_view change;
    read_field(object, "revision", change.revision);
    read_field(object, "author", change.author);
    read_field(object, "requested_by", change.requested_by);
    read_field(object, "time", change.time);
    read_field(object, "change", change.change);
    return change;
}

zone_view read_zone(json const& object)
{
    zone_view zone;
    read_field(object, "zone", zone.zone);
    read_field(object, "region", zone.region);
    read_field(object, "state", zone.state);
    if (object.contains("quiet_in_ms"))
    {
        zone.quiet_in_ms = object.at("quiet_in_ms").get<std::int64_t>();
    }
    return zone;
}

process_view read_process(json const& object)
{
    process_view process;
    read_field(object, "name", process.name);
    read_field(object, "in_force", process.in_force);
    read_field(object, "age_ms", process.age_ms);
    return process;
}

member_view read_group_member(json const& object)
{
    member_view member;
    read_field(object, "id", member.id);
    read_field(object, "rpc", member.rpc);
    read_field(object, "http", member.http);
    read_field(object, "learner", member.learner);
    return member;
}

member_status_view read_member_status(json const& object)
{
    member_status_view member;
    read_field(object, "id", member.id);
    read_field(object, "rpc", member.rpc);
    read_field(object, "http", member.http);
    read_field(object, "role", member.role);
    read_field(object, "lag", member.lag);
    member.answered = object.value("answered", false);
    if (object.contains("answer_ms"))
    {
        member.answer_ms = object.at("answer_ms").get<std::int64_t>();
    }
    return member;
}

group_view read_group(json const& object)
{
    group_view group;
    read_field(object, "losses_borne", group.losses_borne);
    group.members = read_list(object, "members", read_member_status);
    return group;
}

/// @return A string as it is, any other value as JSON.
std::string unquoted_text(json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

job_view read_job(json const& object)
{
    job_view job;
    read_field(object, "id", job.id);
    read_field(object, "name", job.name);
    read_field(object, "team", job.team);
    read_field(object, "kind", job.kind);
    read_field(object, "state", job.state);
    read_field(object, "attempt", job.attempt);
    read_field(object, "failures", job.failures);
    job.worker = object.value("worker", "");
    job.last_worker = object.value("last_worker", "");
    job.checkpoint = unquoted_text(object.value("checkpoint", json("")));
    job.code_name = object.value("code_name", "");
    job.reason = object.value("reason", "");
    return job;
}

status_view read_status(json const& object)
{
    status_view status;
    read_field(object, "term", status.term);
    read_field(object, "commit_index", status.commit_index);
    read_field(object, "revision", status.revision);
    read_field(object, "workers", status.workers);
    read_field(object, "storage_failed", status.storage_failed);
    status.storage_failure = object.value("storage_failure", std::string());
    status.backends = object.value("backends", std::uint64_t{0});
    status.zones = read_list(object, "zones", read_zone);
    for (auto const& [state, count] : object.at("jobs").items())
    {
        status.jobs.push_back({state, count.get<std::uint64_t>()});
    }
    if (object.contains("leader"))
    {
        status.leader = read_group_member(object.at("leader"));
    }
    if (object.contains("group"))
    {
        status.group = read_group(object.at("group"));
    }
    if (object.contains("processes"))
    {
        status.processes = read_list(object, "processes", read_process);
    }
    return status;
}

write_result read_write_result(json const& object)
{
    write_result result;
    read_field(object, "text", result.text);
    result.revision = object.value("revision", std::uint64_t{0});
    result.winner = object.value("winner", "");
    result.jobs = object.value("jobs", std::vector<std::uint64_t>());
    return result;
}

std::string read_line(json const& object)
{
    return object.at("line").get<std::string>();
}

} // namespace

std::optional<write_result> parse_write_result(std::string const& body)
{
    return parse_answer(body, read_write_result);
}

std::optional<rules_view> parse_rules(std::string const& body)
{
    return parse_answer(body,
                        [](json const& object)
                        {
                            rules_view view;
                            read_field(object, "revision", view.revision);
                            read_field(object, "text", view.text);
                            return view;
                        });
}

std::optional<std::vector<change_view>> parse_history(std::string const& body)
{
    return parse_answer(body,
                        [](json const& object)
                        { return read_list(object, "changes", read_change); });
}

std::optional<status_view> parse_status(std::string const& body)
{
    return parse_answer(body, read_status);
}

std::optional<std::vector<job_view>> parse_jobs(std::string const& body)
{
    return parse_answer(body,
                        [](json const& object)
                        { return read_list(object, "jobs", read_job); });
}

std::optional<job_view> parse_job(std::string const& body)
{
    return parse_answer(body, read_job);
}

std::optional<std::vector<member_view>> parse_members(std::string const& body)
{
    return parse_answer(
        body,
        [](json const& object)
        { return read_list(object, "members", read_group_member); });
}

std::optional<std::vector<std::string>>
parse_decision_lines(std::string const& body)
{
    return parse_answer(body,
                        [](json const& object)
                        { return read_list(object, "decisions", read_line); });
}

} // namespace turmericswitch::ctl
