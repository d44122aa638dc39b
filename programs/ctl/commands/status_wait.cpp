#include "commands/status_wait.hpp"

#include "core/results/last_reason.hpp"
#include "output/text_table.hpp"
#include "rules/rules.hpp"

#include <algorithm>
#include <functional>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

constexpr core::duration poll_interval = std::chrono::milliseconds(300);

/// Evaluates one status: `timed_out` continues polling, any other code ends it.
using status_check = std::function<result_code(status_view const&)>;

result_code poll_status(command_context const& context,
                        core::duration limit,
                        status_check const& check)
{
    auto const& clock = context.client.clock();
    auto const deadline = clock.now() + limit;
    while (true)
    {
        auto const status = fetch_status(context);
        if (!status)
        {
            return core::last_reason().code;
        }
        auto const result = check(*status);
        if (result != result_code::timed_out || clock.now() >= deadline)
        {
            return result;
        }
        clock.wait(std::min(poll_interval, deadline - clock.now()));
    }
}

std::vector<process_view> outdated_processes(status_view const& status,
                                             std::uint64_t revision)
{
    std::vector<process_view> outdated;
    for (auto const& process : status.processes)
    {
        if (process.in_force < revision)
        {
            outdated.push_back(process);
        }
    }
    return outdated;
}

std::string process_table(std::vector<process_view> const& processes)
{
    text_table table({"PROCESS", "IN FORCE", "LAST HEARD"});
    for (auto const& process : processes)
    {
        table.add({process.name,
                   std::to_string(process.in_force),
                   std::to_string(process.age_ms) + " ms ago"});
    }
    return table.text();
}

/// @return The canonical name of the zone by the rules in force.
std::optional<std::string> canonical_zone(command_context const& context,
                                          std::string const& zone)
{
    auto const answer = context.client.get("/v1/rules");
    if (!answer.is_ok())
    {
        report_failure(context, answer);
        return core::fail(answer.code, answer.text);
    }
    auto const view = parse_rules(answer.body);
    std::vector<rules::rule_error> errors;
    auto const parsed = view
                            ? rules::parse(view->text, "rules in force", errors)
                            : std::nullopt;
    if (!parsed)
    {
        report_last_reason(context);
        return std::nullopt;
    }
    return rules::build_name_table(*parsed).resolve_or_same(
        core::name_kind::zone, zone);
}

/// @return `ok` if the zone is out and no task can start there any more,
/// `timed_out` if one still can, `name_unknown` if the status does not list the
/// zone.
result_code check_zone_is_quiet(status_view const& status,
                                std::string const& zone)
{
    for (auto const& entry : status.zones)
    {
        if (entry.zone == zone)
        {
            bool const is_quiet = entry.state == "out" && entry.quiet_in_ms &&
                                  *entry.quiet_in_ms == 0;
            return is_quiet ? result_code::ok : result_code::timed_out;
        }
    }
    return result_code::name_unknown;
}

} // namespace

std::optional<status_view> fetch_status(command_context const& context)
{
    auto const answer = context.client.get("/v1/status");
    if (!answer.is_ok())
    {
        report_failure(context, answer);
        return core::fail(answer.code, answer.text);
    }
    auto status = parse_status(answer.body);
    if (!status)
    {
        report_last_reason(context);
    }
    return status;
}

result_code wait_until_in_force(command_context const& context,
                                std::uint64_t revision,
                                core::duration limit)
{
    std::vector<process_view> outdated;
    std::size_t count = 0;
    auto const end = poll_status(
        context,
        limit,
        [&](status_view const& status)
        {
            outdated = outdated_processes(status, revision);
            count = status.processes.size();
            return outdated.empty() ? result_code::ok : result_code::timed_out;
        });
    if (end == result_code::timed_out)
    {
        report_error(
            context,
            end,
            std::to_string(outdated.size()) + " of " + std::to_string(count) +
                " processes don't have revision " + std::to_string(revision) +
                " in force",
            "the revision is accepted; check why these processes don't "
            "reach control");
        context.err << process_table(outdated);
    }
    else if (end == result_code::ok && !context.wants_json())
    {
        context.out << "revision " << revision << " is in force on all "
                    << count << " processes that report to the leader\n";
    }
    return end;
}

result_code wait_until_quiet(command_context const& context,
                             std::string const& zone,
                             core::duration limit)
{
    auto const name = canonical_zone(context, zone);
    if (!name)
    {
        return core::last_reason().code;
    }
    auto const end = poll_status(context,
                                 limit,
                                 [&name](status_view const& status) {
                                     return check_zone_is_quiet(status, *name);
                                 });
    if (end == result_code::timed_out)
    {
        return report_error(context,
                            end,
                            "a start order can still take effect in " + zone,
                            "the zone is out; `status` shows when it is quiet");
    }
    if (end == result_code::name_unknown)
    {
        return report_error(context,
                            end,
                            "no rule declares the availability zone " + zone,
                            advice_for(end));
    }
    if (end == result_code::ok && !context.wants_json())
    {
        context.out << "no task can start in " << zone << " any more\n";
    }
    return end;
}

} // namespace turmericswitch::ctl
