#include "load/scenario/scenario.hpp"

#include "core/results/last_reason.hpp"
#include "settings/settings.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace turmericswitch::load
{

namespace
{

using settings::setting_name;
using settings::settings_reader;

constexpr double max_rate = 100'000;
constexpr std::int64_t max_threads = 400;
constexpr std::int64_t max_jobs = 100'000;
/// Every planned request is held in memory.
constexpr double max_requests = 5e6;
constexpr std::int64_t max_body = std::int64_t{8} << 20;

struct decimal_range
{
    double lowest;
    double highest;
};

double decimal(settings_reader& reader,
               setting_name const& name,
               decimal_range range,
               std::optional<std::string> const& otherwise = {})
{
    std::string const text = reader.text(name, otherwise);
    double value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (!text.empty() && error == std::errc{} && stop == end &&
        std::isfinite(value) && value >= range.lowest && value <= range.highest)
    {
        return value;
    }
    // An empty text is a missing key, which the reader has reported.
    if (!text.empty())
    {
        std::ostringstream expected;
        expected << "a decimal number from " << range.lowest << " to "
                 << range.highest;
        reader.report_bad_value(name, expected.str());
    }
    return range.lowest;
}

request_settings parse_requests(settings_reader& reader)
{
    request_settings read;
    read.path = reader.text({"requests", "path"});
    read.share_write =
        decimal(reader, {"requests", "share_write"}, {0, 1}, "0");
    read.share_keyed =
        decimal(reader, {"requests", "share_keyed"}, {0, 1}, "0");
    read.share_resend =
        decimal(reader, {"requests", "share_resend"}, {0, 1}, "0");
    read.body_bytes = static_cast<std::size_t>(
        reader.integer({"requests", "body_bytes"}, {0, max_body}, 0));
    read.work_mean_ms =
        decimal(reader, {"requests", "work_ms"}, {0, 60'000}, "0");
    read.work_sigma = decimal(reader, {"requests", "work_sigma"}, {0, 4}, "0");
    if (read.share_write + read.share_keyed > 1)
    {
        reader.report_bad_value(
            {"requests", "share_keyed"},
            "share_write and share_keyed of at most 1 together");
    }
    return read;
}

core::priority_class priority_named(std::string const& name)
{
    if (name == "urgent")
    {
        return core::priority_class::urgent;
    }
    return name == "service" ? core::priority_class::service
                             : core::priority_class::batch;
}

job_kind parse_kind(settings_reader& reader, std::string const& name)
{
    std::string const section = "kind " + name;
    constexpr std::int64_t many = 1'000'000;
    job_kind kind;
    kind.name = name;
    kind.team = core::team_id(reader.text({section, "team"}, "load"));
    kind.priority = priority_named(reader.one_of(
        {section, "priority"}, {"urgent", "service", "batch"}, "batch"));
    kind.declared = {core::millicores(reader.integer(
                         {section, "cpu_millicores"}, {0, many})),
                     reader.bytes({section, "memory"}),
                     core::accelerator_count(reader.integer(
                         {section, "accelerators"}, {0, many}, 0))};
    kind.run_time = reader.duration({section, "run_time"});
    kind.expected_run_time =
        reader.duration({section, "expected_run_time"}, kind.run_time);
    return kind;
}

std::vector<job_kind> parse_kinds(settings_reader& reader)
{
    std::istringstream names(reader.text({"jobs", "kinds"}));
    std::vector<job_kind> kinds;
    std::string name;
    while (std::getline(names >> std::ws, name, ','))
    {
        name.erase(name.find_last_not_of(" \t") + 1);
        kinds.push_back(parse_kind(reader, name));
    }
    return kinds;
}

job_settings parse_jobs(settings_reader& reader)
{
    job_settings read;
    read.control = reader.endpoints({"jobs", "control"});
    read.count = static_cast<std::size_t>(
        reader.integer({"jobs", "count"}, {1, max_jobs}));
    read.rate = decimal(reader, {"jobs", "rate"}, {0.001, max_rate});
    read.kinds = parse_kinds(reader);
    if (reader.has({"jobs", "deadline"}))
    {
        read.deadline = reader.duration({"jobs", "deadline"});
    }
    read.wait_limit =
        reader.duration({"jobs", "wait_limit"}, std::chrono::minutes(2));
    return read;
}

std::vector<daemon_process> parse_daemons(settings_reader& reader,
                                          std::string const& text)
{
    constexpr std::int64_t max_pid = std::int64_t{1} << 22;
    std::vector<daemon_process> daemons;
    for (auto const& entry : settings::parse_settings(text).entries)
    {
        if (entry.section == "daemons")
        {
            daemons.push_back(
                {entry.key,
                 reader.integer({"daemons", entry.key}, {1, max_pid})});
        }
    }
    return daemons;
}

void parse_load(settings_reader& reader, scenario& read)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    read.gateways = reader.endpoints({"load", "gateways"});
    read.duration = reader.duration(
        {"load", "duration"}, {}, {milliseconds(1), std::chrono::hours(24)});
    read.warm_up = reader.duration({"load", "warm_up"}, seconds(0));
    read.seed = static_cast<std::uint64_t>(
        reader.integer({"load", "seed"}, {0, INT64_MAX}, 1));
    read.rate = decimal(reader, {"load", "rate"}, {0, max_rate});
    read.threads = static_cast<std::size_t>(
        reader.integer({"load", "threads"}, {1, max_threads}, 64));
    read.timeout = reader.duration({"load", "timeout"},
                                   seconds(5),
                                   {milliseconds(1), std::chrono::minutes(5)});
    read.settle = reader.duration({"load", "settle"}, seconds(1));
    if (read.warm_up >= read.duration)
    {
        reader.report_bad_value({"load", "warm_up"}, "less than duration");
    }
    if (read.rate * std::chrono::duration<double>(read.duration).count() >
        max_requests)
    {
        reader.report_bad_value({"load", "rate"},
                                "at most 5000000 requests in total");
    }
}

} // namespace

std::optional<scenario> parse_scenario(std::string const& file,
                                       std::string const& text)
{
    settings_reader reader(file, text);
    scenario read;
    parse_load(reader, read);
    read.requests = parse_requests(reader);
    if (reader.has({"jobs", "control"}))
    {
        read.jobs = parse_jobs(reader);
    }
    read.backends = reader.endpoints({"standins", "backends"},
                                     std::vector<core::endpoint>());
    read.workers = reader.endpoints({"standins", "workers"},
                                    std::vector<core::endpoint>());
    read.daemons = parse_daemons(reader, text);
    if (reader.finish())
    {
        return read;
    }
    auto const code = reader.errors().front().code;
    std::string all;
    for (auto const& error : reader.errors())
    {
        all += (all.empty() ? "" : "\n") + reader.to_string(error);
    }
    return core::fail(code, all);
}

std::optional<scenario> load_scenario(std::string const& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
    {
        return core::fail(core::result_code::io_failed, path + ": can't read");
    }
    return parse_scenario(path, text.str());
}

} // namespace turmericswitch::load
