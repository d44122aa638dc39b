#include "run/usage.hpp"

#include "settings/settings.hpp"
#include "settings/values/parse_value.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace turmericswitch::ctl
{

namespace
{

constexpr int wrong_usage_status = 2;

constexpr auto usage =
    R"(turmericswitch-ctl - shows and changes what turmericswitch does.

Usage:
  turmericswitch-ctl [options] check FILE
  turmericswitch-ctl [options] diff FILE
  turmericswitch-ctl [options] apply FILE [--expect-revision N]
                     [--operation ID] [--wait SECONDS]
  turmericswitch-ctl [options] show
  turmericswitch-ctl [options] history [--limit N]
  turmericswitch-ctl [options] zone (out | in) ZONE [--asked-by NAME]
                     [--wait SECONDS]
  turmericswitch-ctl [options] drain BACKEND
  turmericswitch-ctl [options] undrain BACKEND
  turmericswitch-ctl [options] jobs [--state S] [--limit N]
  turmericswitch-ctl [options] job JOB
  turmericswitch-ctl [options] submit FILE [--operation ID]
  turmericswitch-ctl [options] cancel ID...
  turmericswitch-ctl [options] members
  turmericswitch-ctl [options] members add MEMBER RPC HTTP
  turmericswitch-ctl [options] members remove MEMBER
  turmericswitch-ctl [options] status
  turmericswitch-ctl [options] explain SUBJECT...
  turmericswitch-ctl [options] --check-config
  turmericswitch-ctl --help
  turmericswitch-ctl --version

Options:
  --control ENDPOINTS   HTTP endpoints of control, ip:port, comma separated.
  --config FILE         Settings file (INI), section [ctl].
  --author NAME         Your name; rules, zones and drains need it.
  --json                Print control's answer as JSON.
  --expect-revision N   Replace this revision only.
  --operation ID        Name of this write; the same name is applied once.
  --wait SECONDS        Wait until the change is in force or the zone quiet.
  --asked-by NAME       Who asked for the change.
  --limit N             List at most N.
  --state S             List jobs in this state only.
  --check-config        Check the settings file and exit.
  --help                Show this text.
  --version             Show the version.
)";

/// An option or argument that takes an integer, and its valid range.
struct integer_argument
{
    char const* name;
    std::int64_t min;
    std::int64_t max;
};

constexpr std::int64_t max_wait_seconds = 86'400;
constexpr std::int64_t max_number = INT64_MAX;

constexpr std::array integer_arguments = {
    integer_argument{"--expect-revision", 0, max_number},
    integer_argument{"--wait", 0, max_wait_seconds},
    integer_argument{"--limit", 1, 10'000},
    integer_argument{"JOB", 1, max_number},
    integer_argument{"ID", 1, max_number},
    integer_argument{"MEMBER", 1, 1'000},
};

/// @return The error of the first invalid integer, or empty.
std::string integer_error(process::arguments const& arguments)
{
    for (auto const& argument : integer_arguments)
    {
        for (auto const& text : arguments.list(argument.name))
        {
            auto const number = settings::parse_integer(text);
            if (!number || *number < argument.min || *number > argument.max)
            {
                return std::string(argument.name) +
                       ": expected a number from " +
                       std::to_string(argument.min) + " to " +
                       std::to_string(argument.max) + ", got " + text;
            }
        }
    }
    return {};
}

/// @return The error of the first invalid member address, or empty.
std::string address_error(process::arguments const& arguments)
{
    for (char const* const name : {"RPC", "HTTP"})
    {
        auto const text = arguments.text(name);
        auto const address =
            text ? settings::parse_endpoint(*text) : std::nullopt;
        if (text && (!address || address->port == 0))
        {
            return std::string(name) + ": expected a numeric ip:port, got " +
                   *text;
        }
    }
    return {};
}

} // namespace

process::arguments_result
parse_command_line(std::vector<std::string> const& words)
{
    auto result = process::parse_arguments(
        usage, words, "turmericswitch-ctl " TURMERICSWITCH_VERSION);
    if (!result.parsed)
    {
        return result;
    }
    auto error = integer_error(*result.parsed);
    if (error.empty())
    {
        error = address_error(*result.parsed);
    }
    return error.empty() ? result
                         : process::arguments_result{
                               std::nullopt, error + '\n', wrong_usage_status};
}

} // namespace turmericswitch::ctl
