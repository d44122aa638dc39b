#include "run/ctl_run.hpp"

#include "commands/group_commands.hpp"
#include "commands/job_commands.hpp"
#include "commands/rules_commands.hpp"
#include "commands/rules_file.hpp"
#include "commands/zone_commands.hpp"
#include "core/results/last_reason.hpp"
#include "run/usage.hpp"

#include <array>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

struct command_row
{
    /// Words that must all be given; rows with more words come first.
    char const* first;
    char const* second;
    result_code (*run)(command_context const&);
};

constexpr std::array commands = {
    command_row{"diff", nullptr, diff},
    command_row{"apply", nullptr, apply},
    command_row{"show", nullptr, show},
    command_row{"history", nullptr, history},
    command_row{"zone", nullptr, zone},
    command_row{"drain", nullptr, drain},
    command_row{"undrain", nullptr, drain},
    command_row{"jobs", nullptr, list_jobs},
    command_row{"job", nullptr, show_job},
    command_row{"submit", nullptr, submit},
    command_row{"cancel", nullptr, cancel},
    command_row{"members", "add", add_member},
    command_row{"members", "remove", remove_member},
    command_row{"members", nullptr, members},
    command_row{"status", nullptr, status},
    command_row{"explain", nullptr, explain},
};

command_row const* command_of(process::arguments const& words)
{
    for (auto const& row : commands)
    {
        if (words.flag(row.first) &&
            (row.second == nullptr || words.flag(row.second)))
        {
            return &row;
        }
    }
    return nullptr;
}

result_code run_command(process::arguments const& words,
                        ctl_settings const& settings,
                        ctl_surroundings const& surroundings)
{
    auto const* const row = command_of(words);
    if (row == nullptr || settings.control.empty())
    {
        surroundings.err << "no control instance is named\n"
                            "next: add --control IP:PORT,..., or set control "
                            "in section [ctl] of --config\n";
        return result_code::usage;
    }
    control_client client(
        settings.control, settings.timeout, surroundings.clock);
    command_context const context{words,
                                  settings,
                                  client,
                                  surroundings.out,
                                  surroundings.err,
                                  surroundings.random};
    return row->run(context);
}

/// The settings were read without a fault; only their file may be missing.
int check_config(process::arguments const& words,
                 ctl_surroundings const& surroundings)
{
    if (words.text("--config"))
    {
        return 0;
    }
    surroundings.err << "--check-config: expected --config FILE\n";
    return exit_status(result_code::usage);
}

} // namespace

int exit_status(result_code code)
{
    constexpr int wrong_usage_status = 2;
    constexpr int status_values = 256;
    if (code == result_code::usage)
    {
        return wrong_usage_status;
    }
    auto const status = static_cast<int>(code) % status_values;
    return status == 0 && code != result_code::ok ? 1 : status;
}

int run_ctl(std::vector<std::string> const& words,
            ctl_surroundings const& surroundings)
{
    auto const line = parse_command_line(words);
    if (!line.parsed)
    {
        (line.exit_status == 0 ? surroundings.out : surroundings.err)
            << line.message;
        return line.exit_status;
    }
    auto const& parsed = *line.parsed;
    std::string problems;
    auto const settings = load_settings(parsed, problems);
    if (!settings)
    {
        auto const code = core::last_reason().code;
        surroundings.err << problems;
        return exit_status(code);
    }
    if (parsed.flag("--check-config"))
    {
        return check_config(parsed, surroundings);
    }
    if (parsed.flag("check"))
    {
        return exit_status(check(parsed.text("FILE").value_or(""),
                                 parsed.flag("--json"),
                                 surroundings.out,
                                 surroundings.err));
    }
    return exit_status(run_command(parsed, *settings, surroundings));
}

} // namespace turmericswitch::ctl
