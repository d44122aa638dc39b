#include "commands/rules_commands.hpp"

#include "answers/control_answers.hpp"
#include "commands/rules_file.hpp"
#include "commands/status_wait.hpp"
#include "core/results/last_reason.hpp"
#include "output/text_table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

std::string file_argument(command_context const& context)
{
    return context.arguments.text("FILE").value_or("");
}

/// @return The rules in force, or nothing after reporting the error; the code
/// is the last reason.
std::optional<rules_view> fetch_rules(command_context const& context)
{
    auto const answer = context.client.get("/v1/rules");
    if (!answer.is_ok())
    {
        report_failure(context, answer);
        return core::fail(answer.code, answer.text);
    }
    auto view = parse_rules(answer.body);
    if (!view)
    {
        report_last_reason(context);
    }
    return view;
}

std::optional<rules::rule_set>
parse_rules_in_force(command_context const& context, rules_view const& in_force)
{
    std::vector<rules::rule_error> errors;
    auto parsed = rules::parse(in_force.text, "rules in force", errors);
    if (!parsed)
    {
        report_error(context,
                     result_code::message_malformed,
                     rules::to_string(errors.front()),
                     advice_for(result_code::message_malformed));
        return core::fail(result_code::message_malformed, "rules in force");
    }
    return parsed;
}

std::string kind_name(rules::change_kind kind)
{
    switch (kind)
    {
    case rules::change_kind::added:
        return "added";
    case rules::change_kind::removed:
        return "removed";
    case rules::change_kind::changed:
        return "changed";
    }
    return "";
}

nlohmann::json rule_json(std::optional<rules::rule> const& rule)
{
    if (!rule)
    {
        return nullptr;
    }
    return {{"rule", rules::print(rule->body)},
            {"asked_by", rule->requester},
            {"reason", rule->reason}};
}

std::string changes_json(std::uint64_t revision,
                         std::vector<rules::rule_change> const& changes)
{
    auto list = nlohmann::json::array();
    for (auto const& change : changes)
    {
        list.push_back({{"kind", kind_name(change.kind)},
                        {"before", rule_json(change.before)},
                        {"after", rule_json(change.after)}});
    }
    nlohmann::json const document{{"revision", revision},
                                  {"changes", std::move(list)}};
    return document.dump();
}

void print_changes(command_context const& context,
                   std::uint64_t revision,
                   std::vector<rules::rule_change> const& changes)
{
    auto const count = [&changes](rules::change_kind kind)
    {
        return std::count_if(changes.begin(),
                             changes.end(),
                             [kind](rules::rule_change const& change)
                             { return change.kind == kind; });
    };
    context.out << "against revision " << revision << ": "
                << count(rules::change_kind::added) << " added, "
                << count(rules::change_kind::removed) << " removed, "
                << count(rules::change_kind::changed) << " changed\n";
    for (auto const& change : changes)
    {
        context.out << rules::to_string(change) << '\n';
    }
}

std::string conflict_advice(command_context const& context,
                            write_result const& result)
{
    auto const file = file_argument(context);
    auto const revision = std::to_string(result.revision);
    return (result.winner.empty() ? "another operator" : result.winner) +
           " made revision " + revision + "; run `diff " + file +
           "`, bring those changes into your file, then `apply " + file +
           " --expect-revision " + revision + "`";
}

/// Reports a failed apply; adds the next step after a conflict or an unknown
/// outcome.
result_code report_apply_failure(command_context const& context,
                                 control_answer const& answer,
                                 std::string const& operation)
{
    if (answer.code == result_code::revision_conflict)
    {
        if (auto const result = parse_write_result(answer.body))
        {
            if (context.wants_json())
            {
                context.out << answer.body << '\n';
            }
            return report_error(context,
                                answer.code,
                                answer.text,
                                conflict_advice(context, *result));
        }
    }
    if (answer.code == result_code::outcome_unknown)
    {
        return report_error(
            context,
            answer.code,
            answer.text,
            "it may have been applied; run the same command with "
            "--operation " +
                operation +
                " and the same --expect-revision within an hour "
                "to learn its result");
    }
    return report_failure(context, answer);
}

result_code send_rules(command_context const& context,
                       std::string const& author,
                       std::string const& text,
                       std::uint64_t replaces)
{
    auto const operation = operation_name(context);
    nlohmann::json const body{{"operation", operation},
                              {"author", author},
                              {"replaces", replaces},
                              {"text", text}};
    auto const answer =
        context.client.post("/v1/rules", body.dump(), retry_policy::safe);
    if (!answer.is_ok())
    {
        return report_apply_failure(context, answer, operation);
    }
    auto const result = parse_write_result(answer.body);
    if (!result)
    {
        return report_last_reason(context);
    }
    if (context.wants_json())
    {
        context.out << answer.body << '\n';
    }
    else
    {
        context.out << "revision " << result->revision << " is in force, it "
                    << "replaces " << replaces << '\n'
                    << result->text;
    }
    auto const limit = wait_limit(context);
    return limit ? wait_until_in_force(context, result->revision, *limit)
                 : result_code::ok;
}

/// @return The first line, and the number of lines that follow.
std::string first_line(std::string const& text)
{
    auto const end = text.find('\n');
    if (end == std::string::npos || end + 1 == text.size())
    {
        return text.substr(0, end);
    }
    // Control truncates a long text, so the last line may be incomplete.
    auto const more = std::count(text.begin() + static_cast<long>(end) + 1,
                                 text.end(),
                                 '\n') +
                      (text.ends_with('\n') ? 0 : 1);
    return text.substr(0, end) + " (and " + std::to_string(more) +
           (text.ends_with('\n') ? " more)" : " or more)");
}

} // namespace

result_code diff(command_context const& context)
{
    auto const file = load_rules_file(file_argument(context), context.err);
    if (!file)
    {
        return core::last_reason().code;
    }
    auto const in_force = fetch_rules(context);
    auto const before =
        in_force ? parse_rules_in_force(context, *in_force) : std::nullopt;
    if (!before)
    {
        return core::last_reason().code;
    }
    auto const changes = rules::diff(*before, file->parsed);
    if (context.wants_json())
    {
        context.out << changes_json(in_force->revision, changes) << '\n';
        return result_code::ok;
    }
    print_changes(context, in_force->revision, changes);
    return result_code::ok;
}

result_code apply(command_context const& context)
{
    auto const author = required_author(context);
    if (!author)
    {
        return result_code::usage;
    }
    auto const file = load_rules_file(file_argument(context), context.err);
    if (!file)
    {
        auto const code = core::last_reason().code;
        context.err << "next: correct " << file_argument(context)
                    << "; nothing was sent to control\n";
        return code;
    }
    auto replaces = number_option(context, "--expect-revision");
    if (!replaces)
    {
        auto const in_force = fetch_rules(context);
        if (!in_force)
        {
            return core::last_reason().code;
        }
        replaces = in_force->revision;
    }
    return send_rules(context, *author, file->text, *replaces);
}

result_code show(command_context const& context)
{
    auto const answer = context.client.get("/v1/rules");
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const view = parse_rules(answer.body);
    if (!view)
    {
        return report_last_reason(context);
    }
    context.out << view->text;
    // Standard error, so that redirected output is exactly the rules file.
    context.err << "revision " << view->revision << '\n';
    return result_code::ok;
}

result_code history(command_context const& context)
{
    auto const limit = number_option(context, "--limit");
    auto const answer = context.client.get(
        "/v1/history" + (limit ? "?limit=" + std::to_string(*limit) : ""));
    if (auto const end = report_failure_or_json(context, answer))
    {
        return *end;
    }
    auto const changes = parse_history(answer.body);
    if (!changes)
    {
        return report_last_reason(context);
    }
    text_table table({"REVISION", "TIME", "AUTHOR", "ASKED BY", "CHANGE"});
    for (auto const& change : *changes)
    {
        table.add({std::to_string(change.revision),
                   change.time,
                   change.author,
                   change.requested_by,
                   first_line(change.change)});
    }
    context.out << table.text();
    return result_code::ok;
}

} // namespace turmericswitch::ctl
