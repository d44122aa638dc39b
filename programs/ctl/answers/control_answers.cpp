#include "answers/control_answers.hpp"

#include "core/results/last_reason.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using json = nlohmann::json;

template <typename Read>
auto read_answer(std::string const& body, Read read)
    -> std::optional<decltype(read(json{}))>
{
    try
    {
        return read(json::parse(body));
    }
    catch (json::exception const& error)
    {
        return core::fail(core::result_code::message_malformed,
                          std::string("control's answer has another form than "
                                      "this version expects: ") +
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
void read_member(json const& object, char const* name, T& value)
{
    object.at(name).get_to(value);
}

change_view read_change(json const& object)
{
    change_view change;
    read_member(object, "revision", change.revision);
    read_member(object, "author", change.author);
    read_member(object, "requested_by", change.requested_by);
    read_member(object, "time", change.time);
    read_member(object, "change", change.change);
    return change;
}

zone_view read_zone(json const& object)
{
    zone_view zone;
    read_member(object, "zone", zone.zone);
    read_member(object, "region", zone.region);
    read_member(object, "state", zone.state);
    if (object.contains("quiet_in_ms"))
    {
        zone.quiet_in_ms = object.at("quiet_in_ms").get<std::int64_t>();
    }
    return zone;
}

process_view read_process(json const& object)
{
    process_view process;
    read_member(object, "name", process.name);
    read_member(object, "in_force", process.in_force);
    read_member(object, "age_ms", process.age_ms);
    return process;
}

member_view read_member_view(json const& object)
{
    member_view member;
    read_member(object, "id", member.id);
    read_member(object, "rpc", member.rpc);
    read_member(object, "http", member.http);
    read_member(object, "learner", member.learner);
    return member;
}

std::string text_of(json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

job_view read_job(json const& object)
{
    job_view job;
    read_member(object, "id", job.id);
    read_member(object, "name", job.name);
    read_member(object, "team", job.team);
    read_member(object, "kind", job.kind);
    read_member(object, "state", job.state);
    read_member(object, "attempt", job.attempt);
    read_member(object, "failures", job.failures);
    job.worker = object.value("worker", "");
    job.last_worker = object.value("last_worker", "");
    job.checkpoint = text_of(object.value("checkpoint", json("")));
    job.code_name = object.value("code_name", "");
    job.reason = object.value("reason", "");
    return job;
}

status_view read_status(json const& object)
{
    status_view status;
    read_member(object, "term", status.term);
    read_member(object, "commit_index", status.commit_index);
    read_member(object, "revision", status.revision);
    read_member(object, "workers", status.workers);
    read_member(object, "storage_failed", status.storage_failed);
    status.backends = object.value("backends", std::uint64_t{0});
    status.zones = read_list(object, "zones", read_zone);
    for (auto const& [state, count] : object.at("jobs").items())
    {
        status.jobs.push_back({state, count.get<std::uint64_t>()});
    }
    if (object.contains("leader"))
    {
        status.leader = read_member_view(object.at("leader"));
    }
    if (object.contains("processes"))
    {
        status.processes = read_list(object, "processes", read_process);
    }
    return status;
}

write_reply read_reply(json const& object)
{
    write_reply reply;
    read_member(object, "text", reply.text);
    reply.revision = object.value("revision", std::uint64_t{0});
    reply.winner = object.value("winner", "");
    reply.jobs = object.value("jobs", std::vector<std::uint64_t>());
    return reply;
}

std::string read_line(json const& object)
{
    return object.at("line").get<std::string>();
}

} // namespace

std::optional<write_reply> parse_write_reply(std::string const& body)
{
    return read_answer(body, read_reply);
}

std::optional<rules_view> parse_rules(std::string const& body)
{
    return read_answer(body,
                       [](json const& object)
                       {
                           rules_view view;
                           read_member(object, "revision", view.revision);
                           read_member(object, "text", view.text);
                           return view;
                       });
}

std::optional<std::vector<change_view>> parse_history(std::string const& body)
{
    return read_answer(body,
                       [](json const& object)
                       { return read_list(object, "changes", read_change); });
}

std::optional<status_view> parse_status(std::string const& body)
{
    return read_answer(body, read_status);
}

std::optional<std::vector<job_view>> parse_jobs(std::string const& body)
{
    return read_answer(body,
                       [](json const& object)
                       { return read_list(object, "jobs", read_job); });
}

std::optional<job_view> parse_job(std::string const& body)
{
    return read_answer(body, read_job);
}

std::optional<std::vector<member_view>> parse_members(std::string const& body)
{
    return read_answer(
        body,
        [](json const& object)
        { return read_list(object, "members", read_member_view); });
}

std::optional<std::vector<std::string>>
parse_decision_lines(std::string const& body)
{
    return read_answer(body,
                       [](json const& object)
                       { return read_list(object, "decisions", read_line); });
}

} // namespace turmericswitch::ctl
