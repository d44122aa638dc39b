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

[[noreturn]] void refuse(char const* name)
{
    std::fprintf(stderr, "control_scale: wrong value of %s\n", name);
    std::exit(2);
}

std::size_t count(arguments const& given, char const* name)
{
    auto const number = settings::parse_integer(given.at(name).asString());
    if (!number || *number < 0)
    {
        refuse(name);
    }
    return static_cast<std::size_t>(*number);
}

double rate(arguments const& given, char const* name)
{
    auto const& text = given.at(name).asString();
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    if (*end != '\0' || value < 0)
    {
        refuse(name);
    }
    return value;
}

std::vector<core::endpoint> endpoints(arguments const& given, char const* name)
{
    auto read = settings::parse_endpoints(given.at(name).asString());
    if (!read || read->empty())
    {
        refuse(name);
    }
    return std::move(*read);
}

std::vector<long> pids(arguments const& given)
{
    std::vector<long> read;
    std::istringstream words(given.at("--pids").asString());
    for (std::string word; std::getline(words, word, ',');)
    {
        auto const number = settings::parse_integer(word);
        if (!number)
        {
            refuse("--pids");
        }
        read.push_back(static_cast<long>(*number));
    }
    return read;
}

} // namespace

scale_options parse_scale_options(std::vector<std::string> const& words)
{
    auto const given = docopt::docopt(
        usage, words, true, "control_scale " TURMERICSWITCH_VERSION);
    scale_options read;
    read.rpc = endpoints(given, "--rpc");
    read.http = endpoints(given, "--http");
    read.pids = pids(given);
    if (read.pids.size() != read.http.size())
    {
        refuse("--pids");
    }
    read.workers = count(given, "--workers");
    read.tasks = count(given, "--tasks");
    read.sidecars = count(given, "--sidecars");
    read.gateways = count(given, "--gateways");
    read.jobs_per_second = rate(given, "--jobs");
    read.changes_per_second = rate(given, "--changes");
    read.batch = std::max<std::size_t>(1, count(given, "--batch"));
    read.run_time = std::chrono::milliseconds(count(given, "--run-ms"));
    read.ended_jobs = count(given, "--ended");
    read.payload_bytes = count(given, "--payload");
    read.teams = std::max<std::size_t>(1, count(given, "--teams"));
    read.usage_every = count(given, "--usage-every");
    read.warm_up = std::chrono::seconds(count(given, "--warm-up"));
    read.measured = std::chrono::seconds(count(given, "--seconds"));
    read.per_second = given.at("--per-second").asBool();
    read.own_connections = given.at("--own").asBool();
    return read;
}

} // namespace turmericswitch::bench
