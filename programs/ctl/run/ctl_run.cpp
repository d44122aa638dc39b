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

struct command_entry
{
    /// The command word and an optional second word. The first entry whose
    /// words are all given is used, so longer commands precede their prefix.
    char const* first;
    char const* second;
    result_code (*run)(command_context const&);
};

constexpr std::array commands = {
    command_entry{"diff", nullptr, diff},
    command_entry{"apply", nullptr, apply},
    command_entry{"show", nullptr, show},
    command_entry{"history", nullptr, history},
    command_entry{"zone", nullptr, zone},
    command_entry{"drain", nullptr, drain},
    command_entry{"undrain", nullptr, drain},
    command_entry{"jobs", nullptr, list_jobs},
    command_entry{"job", nullptr, show_job},
    command_entry{"submit", nullptr, submit},
    command_entry{"cancel", nullptr, cancel},
    command_entry{"members", "add", add_member},
    command_entry{"members", "remove", remove_member},
    command_entry{"members", nullptr, members},
    command_entry{"status", nullptr, status},
    command_entry{"explain", nullptr, explain},
};

command_entry const* find_command(process::arguments const& arguments)
{
    for (auto const& entry : commands)
    {
        if (arguments.flag(entry.first) &&
            (entry.second == nullptr || arguments.flag(entry.second)))
        {
            return &entry;
        }
    }
    return nullptr;
}

result_code run_command(process::arguments const& arguments,
                        ctl_settings const& settings,
                        ctl_environment const& environment)
{
    auto const* const entry = find_command(arguments);
    if (entry == nullptr || settings.control.empty())
    {
        environment.err << "no control instance is given\n"
                           "next: add --control IP:PORT,..., or set control "
                           "in section [ctl] of --config\n";
        return result_code::usage;
    }
    control_client client(
        settings.control, settings.timeout, environment.clock);
    command_context const context{arguments,
                                  settings,
                                  client,
                                  environment.out,
                                  environment.err,
                                  environment.random};
    return entry->run(context);
}

/// Runs after the settings have been loaded without errors, so only --config
/// can still be missing.
int check_config(process::arguments const& arguments,
                 ctl_environment const& environment)
{
    if (arguments.text("--config"))
    {
        return 0;
    }
    environment.err << "--check-config: expected --config FILE\n";
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
            ctl_environment const& environment)
{
    auto const command_line = parse_command_line(words);
    if (!command_line.parsed)
    {
        (command_line.exit_status == 0 ? environment.out : environment.err)
            << command_line.message;
        return command_line.exit_status;
    }
    auto const& parsed = *command_line.parsed;
    std::string problems;
    auto const settings = load_settings(parsed, problems);
    if (!settings)
    {
        auto const code = core::last_reason().code;
        environment.err << problems;
        return exit_status(code);
    }
    if (parsed.flag("--check-config"))
    {
        return check_config(parsed, environment);
    }
    if (parsed.flag("check"))
    {
        return exit_status(check(parsed.text("FILE").value_or(""),
                                 parsed.flag("--json"),
                                 environment.out,
                                 environment.err));
    }
    return exit_status(run_command(parsed, *settings, environment));
}

} // namespace turmericswitch::ctl
