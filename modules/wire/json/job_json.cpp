#include "wire/json/job_json.hpp"

#include "wire/json/json_members.hpp"

#include <array>
#include <ctime>

namespace turmericswitch::wire
{

namespace
{

using core::priority_class;

std::string to_text(priority_class priority)
{
    switch (priority)
    {
    case priority_class::urgent:
        return "urgent";
    case priority_class::service:
        return "service";
    case priority_class::batch:
        return "batch";
    }
    return "batch";
}

priority_class priority_from_text(std::string const& text)
{
    if (text == "urgent")
    {
        return priority_class::urgent;
    }
    if (text == "service")
    {
        return priority_class::service;
    }
    if (text == "batch")
    {
        return priority_class::batch;
    }
    throw json_member_error("member priority must be urgent, service or batch");
}

json job_to_json(core::job_description const& job)
{
    json object{
        {"name", job.name},
        {"team", job.team.value()},
        {"kind", job.kind.value()},
        {"priority", to_text(job.priority)},
        {"resources", resources_to_json(job.declared)},
        {"expected_run_time_ms", to_milliseconds(job.expected_run_time)},
        {"payload", job.payload}};
    if (job.deadline)
    {
        object["deadline"] = wall_time_to_text(*job.deadline);
    }
    return object;
}

std::string non_empty_string_member(json const& object, char const* name)
{
    auto text = member<std::string>(object, name);
    if (text.empty())
    {
        throw json_member_error(std::string("member ") + name + " is empty");
    }
    return text;
}

std::optional<core::wall_time> deadline_member(json const& object)
{
    auto const text = member_or<std::string>(object, "deadline", "");
    if (text.empty())
    {
        return std::nullopt;
    }
    auto const time = wall_time_from_text(text);
    if (!time)
    {
        throw json_member_error(
            "member deadline must look like 2026-01-31T06:00:00Z");
    }
    return time;
}

core::job_description job_from_json(json const& object)
{
    core::job_description job;
    job.name = non_empty_string_member(object, "name");
    job.team = core::team_id(non_empty_string_member(object, "team"));
    job.kind = core::task_kind(non_empty_string_member(object, "kind"));
    job.priority =
        priority_from_text(member_or<std::string>(object, "priority", "batch"));
    job.declared = resources_from_json(member<json>(object, "resources"));
    job.expected_run_time = duration_member(object, "expected_run_time_ms");
    job.deadline = deadline_member(object);
    job.payload = member_or<std::string>(object, "payload", "");
    return job;
}

json const& job_list_member(json const& object, json& storage)
{
    storage = member<json>(object, "jobs");
    if (!storage.is_array() || storage.empty() ||
        storage.size() > max_jobs_per_call)
    {
        throw json_member_error("member jobs must be a list of 1 to " +
                                std::to_string(max_jobs_per_call));
    }
    return storage;
}

} // namespace

std::string jobs_to_json(std::vector<core::job_description> const& jobs)
{
    json list = json::array();
    for (auto const& job : jobs)
    {
        list.push_back(job_to_json(job));
    }
    return json{{"jobs", std::move(list)}}.dump();
}

std::optional<std::vector<core::job_description>>
jobs_from_json(std::string_view text)
{
    return read_json(text,
                     core::result_code::job_invalid,
                     [](json const& document)
                     {
                         json storage;
                         std::vector<core::job_description> jobs;
                         for (auto const& object :
                              job_list_member(document, storage))
                         {
                             jobs.push_back(job_from_json(object));
                         }
                         return jobs;
                     });
}

std::optional<std::vector<core::job_id>>
job_ids_from_json(std::string_view text)
{
    return read_json(
        text,
        core::result_code::job_invalid,
        [](json const& document)
        {
            json storage;
            std::vector<core::job_id> ids;
            for (auto const& id : job_list_member(document, storage))
            {
                if (!id.is_number_unsigned())
                {
                    throw json_member_error("a job id is a positive number");
                }
                ids.emplace_back(id.get<std::uint64_t>());
            }
            return ids;
        });
}

std::string wall_time_to_text(core::wall_time time)
{
    auto const seconds =
        std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
    std::time_t const epoch_seconds = seconds.count();
    std::tm utc{};
    gmtime_r(&epoch_seconds, &utc);
    std::array<char, 32> text{};
    auto const length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return std::string(text.data(), length);
}

std::optional<core::wall_time> wall_time_from_text(std::string const& text)
{
    std::tm utc{};
    char const* const end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    if (end == nullptr || *end != '\0')
    {
        return std::nullopt;
    }
    return core::wall_time(std::chrono::seconds(timegm(&utc)));
}

} // namespace turmericswitch::wire
