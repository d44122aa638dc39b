#include "commands/job_commands.hpp"

#include "answers/control_answers.hpp"
#include "commands/rules_file.hpp"
#include "core/results/last_reason.hpp"
#include "output/text_table.hpp"
#include "settings/values/parse_value.hpp"
#include "wire/json/job_json.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

/// Same as control's default when a request has no limit.
constexpr std::uint64_t default_limit = 100;

std::string jobs_target(command_context const& context)
{
    auto const limit = number_option(context, "--limit");
    auto target =
        "/v1/jobs?limit=" + std::to_string(limit.value_or(default_limit));
    if (auto const state = context.arguments.text("--state"))
    {
        target += "&state=" + percent_encoded(*state);
    }
    return target;
}

std::string join_ids(std::vector<std::uint64_t> const& ids)
{
    std::string text;
    for (auto const id : ids)
    {
        text += (text.empty() ? "" : " ") + std::to_string(id);
    }
    return text;
}

/// Reads and validates a file of jobs and adds the operation name.
///
/// @return The request body, or nothing after reporting the error; the code is
/// the last reason.
std::optional<std::string> submission_body(command_context const& context,
                                           std::string const& operation)
{
    auto const path = context.arguments.text("FILE").value_or("");
    auto const text = read_text_file(path);
    if (!text)
    {
        report_last_reason(context);
        return std::nullopt;
    }
    if (!wire::jobs_from_json(*text))
    {
        auto const& reason = core::last_reason();
        report_error(context,
                     reason.code,
                     path + ": " + reason.text,
                     "correct the file; nothing was sent to control");
        return core::fail(reason.code, reason.text);
    }
    auto document = nlohmann::json::parse(*text);
    document["operation"] = operation;
    return document.dump();
}

} // namespace

result_code list_jobs(command_context const& context)
{
    auto const answer = context.client.get(jobs_target(context));
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const jobs = parse_jobs(answer.body);
    if (!jobs)
    {
        return report_last_reason(context);
    }
    text_table table(
        {"ID", "NAME", "TEAM", "KIND", "STATE", "ATTEMPT", "WORKER", "REASON"});
    for (auto const& job : *jobs)
    {
        table.add({std::to_string(job.id),
                   job.name,
                   job.team,
                   job.kind,
                   job.state,
                   std::to_string(job.attempt),
                   job.worker,
                   job.reason});
    }
    context.out << table.text();
    auto const limit =
        number_option(context, "--limit").value_or(default_limit);
    if (jobs->size() == limit)
    {
        context.err << "only the first " << limit
                    << " jobs are listed; --limit N lists more\n";
    }
    return result_code::ok;
}

result_code show_job(command_context const& context)
{
    auto const answer = context.client.get(
        "/v1/jobs/" +
        percent_encoded(context.arguments.text("JOB").value_or("")));
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const job = parse_job(answer.body);
    if (!job)
    {
        return report_last_reason(context);
    }
    text_table table({"JOB", std::to_string(job->id)});
    table.add({"name", job->name});
    table.add({"team", job->team});
    table.add({"kind", job->kind});
    table.add({"state", job->state});
    table.add({"attempt", std::to_string(job->attempt)});
    table.add({"failures", std::to_string(job->failures)});
    table.add({"worker", job->worker});
    table.add({"last worker", job->last_worker});
    table.add({"checkpoint", job->checkpoint});
    table.add({"result", job->code_name});
    table.add({"reason", job->reason});
    context.out << table.text();
    return result_code::ok;
}

result_code submit(command_context const& context)
{
    auto const operation = operation_name(context);
    auto const body = submission_body(context, operation);
    if (!body)
    {
        return core::last_reason().code;
    }
    auto const answer =
        context.client.post("/v1/jobs", *body, retry_policy::safe);
    if (answer.code == result_code::outcome_unknown)
    {
        return report_error(context,
                            answer.code,
                            answer.text,
                            "the jobs may have been accepted; run the same "
                            "command with --operation " +
                                operation +
                                " within an hour to learn their ids");
    }
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const result = parse_write_result(answer.body);
    if (!result)
    {
        return report_last_reason(context);
    }
    context.out << "accepted " << result->jobs.size()
                << " jobs: " << join_ids(result->jobs) << '\n';
    return result_code::ok;
}

result_code cancel(command_context const& context)
{
    std::vector<std::uint64_t> ids;
    for (auto const& text : context.arguments.list("ID"))
    {
        // parse_command_line() has checked that they are numbers.
        ids.push_back(static_cast<std::uint64_t>(
            settings::parse_integer(text).value_or(0)));
    }
    // Cancellation is final and idempotent, so a retry needs no operation name.
    auto const answer =
        context.client.post("/v1/jobs/cancel",
                            nlohmann::json{{"jobs", ids}}.dump(),
                            retry_policy::safe);
    if (answer.code == result_code::outcome_unknown)
    {
        return report_error(context,
                            answer.code,
                            answer.text,
                            "the jobs may be cancelled; run the same command "
                            "again, cancelling twice is harmless");
    }
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const result = parse_write_result(answer.body);
    if (!result)
    {
        return report_last_reason(context);
    }
    context.out << result->text << '\n';
    return result_code::ok;
}

} // namespace turmericswitch::ctl
