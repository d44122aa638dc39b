#include "commands/group_commands.hpp"

#include "answers/control_answers.hpp"
#include "core/results/last_reason.hpp"
#include "output/text_table.hpp"
#include "settings/values/parse_value.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

result_code change_members(command_context const& context,
                           nlohmann::json const& body,
                           std::string const& done)
{
    auto const answer =
        context.client.post("/v1/members", body.dump(), retry_policy::never);
    if (answer.code == result_code::outcome_unknown)
    {
        return report_error(
            context,
            answer.code,
            answer.text,
            "a member change is never sent twice; `members` shows "
            "whether it was applied");
    }
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    context.out << done << '\n';
    return result_code::ok;
}

std::uint64_t member_id(command_context const& context)
{
    auto const text = context.arguments.text("MEMBER").value_or("");
    return static_cast<std::uint64_t>(
        settings::parse_integer(text).value_or(0));
}

void print_group(std::ostream& out, status_view const& status)
{
    out << "leader    ";
    if (status.leader)
    {
        out << "member " << status.leader->id << " at " << status.leader->http;
    }
    out << ", term " << status.term << ", commit " << status.commit_index
        << "\nrevision  " << status.revision << "\nworkers   " << status.workers
        << "\nbackends  " << status.backends << "\njobs     ";
    for (auto const& [state, count] : status.jobs)
    {
        out << ' ' << state << ' ' << count;
    }
    out << '\n';
    if (status.storage_failed)
    {
        out << "storage   FAILED, see docs/operating-control.md: "
            << status.storage_failure << '\n';
    }
}

std::string answer_text(member_status_view const& member)
{
    if (!member.answer_ms)
    {
        return "";
    }
    auto const time = std::to_string(*member.answer_ms) + " ms";
    return member.answered ? time + " ago" : "none for " + time;
}

void print_members(std::ostream& out, group_view const& group)
{
    text_table table({"MEMBER", "ADDRESS", "ROLE", "LAG", "LAST ANSWER"});
    for (auto const& member : group.members)
    {
        table.add({std::to_string(member.id),
                   member.rpc,
                   member.role,
                   std::to_string(member.lag),
                   answer_text(member)});
    }
    out << '\n'
        << table.text() << "bears the loss of " << group.losses_borne
        << " instances\n";
}

std::string quiet_text(zone_view const& zone)
{
    if (!zone.quiet_in_ms)
    {
        return "";
    }
    return *zone.quiet_in_ms == 0
               ? "quiet"
               : "in " + std::to_string(*zone.quiet_in_ms) + " ms";
}

void print_zones(std::ostream& out, status_view const& status)
{
    text_table table({"ZONE", "REGION", "STATE", "QUIET"});
    for (auto const& zone : status.zones)
    {
        table.add({zone.zone, zone.region, zone.state, quiet_text(zone)});
    }
    out << '\n' << table.text();
}

void print_processes(std::ostream& out, status_view const& status)
{
    text_table table({"PROCESS", "IN FORCE", "LAST HEARD"});
    for (auto const& process : status.processes)
    {
        table.add({process.name,
                   std::to_string(process.in_force),
                   std::to_string(process.age_ms) + " ms ago"});
    }
    out << '\n' << table.text();
}

std::string subject_argument(command_context const& context)
{
    std::string subject;
    for (auto const& word : context.arguments.list("SUBJECT"))
    {
        subject += (subject.empty() ? "" : " ") + word;
    }
    return subject;
}

/// The explain answers of all control instances.
struct merged_decisions
{
    /// Instances that answered with a valid list.
    std::size_t answered = 0;
    /// Of the last instance that gave no valid list.
    control_answer failure;
    nlohmann::json decisions = nlohmann::json::array();
    std::vector<std::string> lines;
};

merged_decisions merge_decisions(std::vector<control_answer> const& answers)
{
    merged_decisions merged;
    for (auto const& answer : answers)
    {
        auto const lines =
            answer.is_ok() ? parse_decision_lines(answer.body) : std::nullopt;
        if (!lines)
        {
            merged.failure = answer;
            continue;
        }
        ++merged.answered;
        merged.lines.insert(merged.lines.end(), lines->begin(), lines->end());
        auto const document = nlohmann::json::parse(answer.body);
        for (auto const& decision : document.at("decisions"))
        {
            merged.decisions.push_back(decision);
        }
    }
    return merged;
}

} // namespace

result_code members(command_context const& context)
{
    auto const answer = context.client.get("/v1/members");
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const members = parse_members(answer.body);
    if (!members)
    {
        return report_last_reason(context);
    }
    text_table table({"ID", "RPC", "HTTP", "ROLE"});
    for (auto const& member : *members)
    {
        table.add({std::to_string(member.id),
                   member.rpc,
                   member.http,
                   member.learner ? "learner" : "voter"});
    }
    context.out << table.text();
    return result_code::ok;
}

result_code add_member(command_context const& context)
{
    auto const id = member_id(context);
    return change_members(
        context,
        {{"action", "add"},
         {"id", id},
         {"rpc", context.arguments.text("RPC").value_or("")},
         {"http", context.arguments.text("HTTP").value_or("")}},
        "member " + std::to_string(id) +
            " added as learner; it votes once it has caught "
            "up, see `members`");
}

result_code remove_member(command_context const& context)
{
    auto const id = member_id(context);
    return change_members(context,
                          {{"action", "remove"}, {"id", id}},
                          "member " + std::to_string(id) + " removed");
}

result_code status(command_context const& context)
{
    auto const answer = context.client.get("/v1/status");
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const view = parse_status(answer.body);
    if (!view)
    {
        return report_last_reason(context);
    }
    print_group(context.out, *view);
    if (view->group)
    {
        print_members(context.out, *view->group);
    }
    print_zones(context.out, *view);
    print_processes(context.out, *view);
    return result_code::ok;
}

result_code explain(command_context const& context)
{
    // Each instance keeps only the decisions that it made as leader.
    auto const target =
        "/v1/explain/" + percent_encoded(subject_argument(context));
    auto const merged = merge_decisions(context.client.get_from_each(target));
    if (merged.answered == 0)
    {
        return report_failure(context, merged.failure);
    }
    if (context.wants_json())
    {
        nlohmann::json const document{{"decisions", merged.decisions}};
        context.out << document.dump() << '\n';
    }
    else
    {
        for (auto const& line : merged.lines)
        {
            context.out << line << '\n';
        }
    }
    if (merged.lines.empty())
    {
        context.err << "no decision about " << subject_argument(context)
                    << " is kept on the " << merged.answered
                    << " control instances that answered\n"
                    << "next: name it as the log does, for example `explain "
                       "job 17`; older decisions are in control's log\n";
    }
    return result_code::ok;
}

} // namespace turmericswitch::ctl
