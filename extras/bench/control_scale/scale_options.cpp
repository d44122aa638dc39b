#include "control_scale/scale_options.hpp"

#include "settings/values/parse_value.hpp"

#include <docopt/docopt.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>

namespace turmericswitch::bench
{

namespace
{

constexpr char usage[] =
    R"(Loads running control processes with simulated peers and measures them.

Usage:
  control_scale --rpc LIST --http LIST --pids LIST [options]
  control_scale --help | --version

Options:
  --rpc LIST        RPC addresses of the control instances, with commas.
  --http LIST       HTTP addresses of the control instances, same order.
  --pids LIST       Their process ids, same order.
  --workers N       Workers that send heartbeats [default: 0].
  --tasks N         Long tasks held by each worker [default: 0].
  --sidecars N      Announcing sidecars [default: 0].
  --gateways N      Watching gateways [default: 0].
  --jobs X          Urgent job starts per second [default: 0].
  --changes X       Configuration changes per second [default: 0].
  --batch N         Jobs per submission [default: 1].
  --run-ms N        Run time of each urgent job [default: 300].
  --ended N         Ended jobs in the state [default: 0].
  --payload N       Bytes of payload per job [default: 100].
  --teams N         Teams with quotas [default: 360].
  --usage-every N   Heartbeats per usage report [default: 25].
  --warm-up S       Seconds before the measurement [default: 5].
  --seconds S       Seconds measured [default: 15].
  --own             Each worker keeps its own connection open.
  --per-second      A line for every second.
  --help            Shows this text.
  --version         Shows the version.
)";

using arguments = std::map<std::string, docopt::value>;

[[noreturn]] void exit_with_bad_value(char const* name)
{
    std::fprintf(stderr, "control_scale: invalid value for %s\n", name);
    std::exit(2);
}

std::size_t count(arguments const& parsed, char const* name)
{
    auto const number = settings::parse_integer(parsed.at(name).asString());
    if (!number || *number < 0)
    {
        exit_with_bad_value(name);
    }
    return static_cast<std::size_t>(*number);
}

double rate(arguments const& parsed, char const* name)
{
    auto const& text = parsed.at(name).asString();
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    if (*end != '\0' || value < 0)
    {
        exit_with_bad_value(name);
    }
    return value;
}

std::vector<core::endpoint> endpoints(arguments const& parsed, char const* name)
{
    auto read = settings::parse_endpoints(parsed.at(name).asString());
    if (!read || read->empty())
    {
        exit_with_bad_value(name);
    }
    return std::move(*read);
}

std::vector<long> pids(arguments const& parsed)
{
    std::vector<long> values;
    std::istringstream words(parsed.at("--pids").asString());
    for (std::string word; std::getline(words, word, ',');)
    {
        auto const number = settings::parse_integer(word);
        if (!number)
        {
            exit_with_bad_value("--pids");
        }
        values.push_back(static_cast<long>(*number));
    }
    return values;
}

} // namespace

scale_options parse_scale_options(std::vector<std::string> const& words)
{
    auto const parsed = docopt::docopt(
        usage, words, true, "control_scale " TURMERICSWITCH_VERSION);
    scale_options options;
    options.rpc = endpoints(parsed, "--rpc");
    options.http = endpoints(parsed, "--http");
    options.pids = pids(parsed);
    if (options.pids.size() != options.http.size())
    {
        exit_with_bad_value("--pids");
    }
    options.workers = count(parsed, "--workers");
    options.tasks_per_worker = count(parsed, "--tasks");
    options.sidecars = count(parsed, "--sidecars");
    options.gateways = count(parsed, "--gateways");
    options.jobs_per_second = rate(parsed, "--jobs");
    options.changes_per_second = rate(parsed, "--changes");
    options.batch = std::max<std::size_t>(1, count(parsed, "--batch"));
    options.run_time = std::chrono::milliseconds(count(parsed, "--run-ms"));
    options.ended_jobs = count(parsed, "--ended");
    options.payload_bytes = count(parsed, "--payload");
    options.teams = std::max<std::size_t>(1, count(parsed, "--teams"));
    options.heartbeats_per_usage_report = count(parsed, "--usage-every");
    options.warm_up = std::chrono::seconds(count(parsed, "--warm-up"));
    options.measured_duration =
        std::chrono::seconds(count(parsed, "--seconds"));
    options.per_second = parsed.at("--per-second").asBool();
    options.own_connections = parsed.at("--own").asBool();
    return options;
}

} // namespace turmericswitch::bench
