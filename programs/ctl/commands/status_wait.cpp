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

/// Looks at one status; `ok` ends the wait, `timed_out` goes on.
using status_check = std::function<result_code(status_view const&)>;

result_code poll_status(command_context const& context,
                        core::duration limit,
                        status_check const& look)
{
    auto const& clock = context.client.clock();
    auto const until = clock.now() + limit;
    while (true)
    {
        auto const status = fetch_status(context);
        if (!status)
        {
            return core::last_reason().code;
        }
        auto const found = look(*status);
        if (found != result_code::timed_out || clock.now() >= until)
        {
            return found;
        }
        clock.wait(std::min(poll_interval, until - clock.now()));
    }
}

std::vector<process_view> behind(status_view const& status,
                                 std::uint64_t revision)
{
    std::vector<process_view> late;
    for (auto const& process : status.processes)
    {
        if (process.in_force < revision)
        {
            late.push_back(process);
        }
    }
    return late;
}

std::string table_of(std::vector<process_view> const& processes)
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

result_code look_at_zone(status_view const& status, std::string const& zone)
{
    for (auto const& each : status.zones)
    {
        if (each.zone == zone)
        {
            bool const is_quiet = each.state == "out" && each.quiet_in_ms &&
                                  *each.quiet_in_ms == 0;
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
    std::vector<process_view> late;
    std::size_t count = 0;
    auto const end = poll_status(context,
                                 limit,
                                 [&](status_view const& status)
                                 {
                                     late = behind(status, revision);
                                     count = status.processes.size();
                                     return late.empty()
                                                ? result_code::ok
                                                : result_code::timed_out;
                                 });
    if (end == result_code::timed_out)
    {
        complain(context,
                 end,
                 std::to_string(late.size()) + " of " + std::to_string(count) +
                     " processes don't have revision " +
                     std::to_string(revision) + " in force",
                 "the revision is accepted; see why these processes don't "
                 "reach control");
        context.err << table_of(late);
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
                                 [&name](status_view const& status)
                                 { return look_at_zone(status, *name); });
    if (end == result_code::timed_out)
    {
        return complain(context,
                        end,
                        "a start order can still take effect in " + zone,
                        "the zone is out; `status` shows when it is quiet");
    }
    if (end == result_code::name_unknown)
    {
        return complain(context,
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
