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

/// An option or argument that takes a whole number.
struct number_word
{
    char const* name;
    std::int64_t lowest;
    std::int64_t highest;
};

constexpr std::int64_t longest_wait = 86'400;
constexpr std::int64_t highest_number = INT64_MAX;

constexpr std::array number_words = {
    number_word{"--expect-revision", 0, highest_number},
    number_word{"--wait", 0, longest_wait},
    number_word{"--limit", 1, 10'000},
    number_word{"JOB", 1, highest_number},
    number_word{"ID", 1, highest_number},
    number_word{"MEMBER", 1, 1'000},
};

std::string number_fault(process::arguments const& words)
{
    for (auto const& word : number_words)
    {
        for (auto const& text : words.list(word.name))
        {
            auto const number = settings::parse_integer(text);
            if (!number || *number < word.lowest || *number > word.highest)
            {
                return std::string(word.name) + ": expected a number from " +
                       std::to_string(word.lowest) + " to " +
                       std::to_string(word.highest) + ", got " + text;
            }
        }
    }
    return {};
}

std::string address_fault(process::arguments const& words)
{
    for (char const* const name : {"RPC", "HTTP"})
    {
        auto const text = words.text(name);
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
    auto fault = number_fault(*result.parsed);
    if (fault.empty())
    {
        fault = address_fault(*result.parsed);
    }
    return fault.empty() ? result
                         : process::arguments_result{
                               std::nullopt, fault + '\n', wrong_usage_status};
}

} // namespace turmericswitch::ctl
