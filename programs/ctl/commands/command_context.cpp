#include "commands/command_context.hpp"

#include "core/results/last_reason.hpp"
#include "settings/values/parse_value.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

struct advice_entry
{
    result_code code;
    char const* text;
};

constexpr std::array advice_table = {
    advice_entry{result_code::peer_unreachable,
                 "nothing was applied; check the addresses in --control and "
                 "that turmericswitch-control runs there"},
    advice_entry{result_code::not_leader,
                 "nothing was applied; try again in a few seconds, and if that "
                 "does not help see docs/operating-control.md on a lost "
                 "majority"},
    advice_entry{
        result_code::no_quorum,
        "nothing was applied; a majority of the control instances must "
        "reach each other, see docs/operating-control.md on a lost "
        "majority"},
    advice_entry{result_code::outcome_unknown,
                 "it may have been applied; look at `history`, `jobs` or "
                 "`members` before you repeat it"},
    advice_entry{result_code::message_malformed,
                 "use the turmericswitch-ctl of the version that control runs"},
    advice_entry{result_code::name_unknown,
                 "`show` lists the names that the rules declare"},
    advice_entry{result_code::rule_conflict,
                 "the rules file decides this; change it and `apply` it"},
    advice_entry{result_code::job_unknown,
                 "`jobs` lists the jobs; ended ones are kept for 48 hours"},
    advice_entry{result_code::unknown_member,
                 "`members` lists the control instances"},
    advice_entry{result_code::membership_change_in_progress,
                 "wait until `members` shows the earlier change, then repeat"},
    advice_entry{result_code::session_expired,
                 "look at `history` or `jobs`, then use a new --operation"},
    advice_entry{result_code::disk_full,
                 "nothing was applied; free space in control's data folder and "
                 "restart that instance"},
};

} // namespace

std::string advice_for(result_code code)
{
    for (auto const& entry : advice_table)
    {
        if (entry.code == code)
        {
            return entry.text;
        }
    }
    return {};
}

result_code report_error(command_context const& context,
                         result_code code,
                         std::string const& text,
                         std::string const& advice)
{
    context.err << static_cast<unsigned>(code) << ' ' << to_string(code) << ": "
                << text;
    if (!text.ends_with('\n'))
    {
        context.err << '\n';
    }
    if (!advice.empty())
    {
        context.err << "next: " << advice << '\n';
    }
    return code;
}

result_code report_failure(command_context const& context,
                           control_answer const& answer)
{
    if (context.wants_json() && !answer.body.empty())
    {
        context.out << answer.body << '\n';
    }
    return report_error(
        context, answer.code, answer.text, advice_for(answer.code));
}

result_code report_last_reason(command_context const& context)
{
    auto const& reason = core::last_reason();
    return report_error(
        context, reason.code, reason.text, advice_for(reason.code));
}

std::optional<std::string> required_author(command_context const& context)
{
    if (!context.settings.author.empty())
    {
        return context.settings.author;
    }
    report_error(
        context,
        result_code::usage,
        "the name of the operator is missing",
        "add --author NAME, or set author in section [ctl] of --config");
    return core::fail(result_code::usage, "author is missing");
}

std::string operation_name(command_context const& context)
{
    if (auto const given = context.arguments.text("--operation"))
    {
        return *given;
    }
    constexpr int digits = 16;
    std::ostringstream name;
    name << "ctl-" << std::hex << std::setfill('0') << std::setw(digits)
         << context.random() << std::setw(digits) << context.random();
    return name.str();
}

std::optional<std::uint64_t> number_option(command_context const& context,
                                           char const* name)
{
    auto const text = context.arguments.text(name);
    auto const number = text ? settings::parse_integer(*text) : std::nullopt;
    return number ? std::optional<std::uint64_t>(
                        static_cast<std::uint64_t>(*number))
                  : std::nullopt;
}

std::optional<core::duration> wait_limit(command_context const& context)
{
    auto const seconds = number_option(context, "--wait");
    return seconds
               ? std::optional<core::duration>(std::chrono::seconds(*seconds))
               : std::nullopt;
}

std::optional<result_code>
report_failure_or_json(command_context const& context,
                       control_answer const& answer)
{
    if (!answer.is_ok())
    {
        return report_failure(context, answer);
    }
    if (context.wants_json())
    {
        context.out << answer.body << '\n';
        return result_code::ok;
    }
    return std::nullopt;
}

} // namespace turmericswitch::ctl
