#include "load/run/standin_client.hpp"

#include "core/results/last_reason.hpp"
#include "web/web.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

namespace turmericswitch::load
{

namespace
{

using json = nlohmann::json;

constexpr core::duration fetch_timeout = std::chrono::seconds(20);
/// Enough for the execution counts of some millions of requests.
constexpr std::size_t fetch_limit = std::size_t{512} << 20;
constexpr std::uint16_t ok_status = 200;

// Parses `text` and calls `read(document)`, which may throw json::exception.
template <typename Read>
bool read_document(std::string const& text, Read read)
{
    try
    {
        read(json::parse(text));
        return true;
    }
    catch (json::exception const& error)
    {
        return core::fail_bool(core::result_code::request_malformed,
                               std::string("executions of a stand-in: ") +
                                   error.what());
    }
}

void add_counts(json const& list, char const* key, execution_counts& sum)
{
    for (auto const& entry : list)
    {
        sum[entry.at(key).get<std::string>()] +=
            entry.at("count").get<std::uint64_t>();
    }
}

template <typename Sum>
std::optional<Sum> fetch_all(std::vector<core::endpoint> const& peers,
                             bool (*add)(std::string const&, Sum&))
{
    Sum sum;
    for (auto const& peer : peers)
    {
        auto const text = fetch(peer, "/standin/executions");
        if (!text || !add(*text, sum))
        {
            return std::nullopt;
        }
    }
    return sum;
}

} // namespace

std::optional<std::string> fetch(core::endpoint const& peer,
                                 std::string const& target)
{
    web::http_client_options options;
    options.body_limit = fetch_limit;
    web::http_client client(options);
    auto result =
        client.request(peer, {"GET", target, {}, {}}, fetch_timeout, true);
    if (result.outcome != web::http_outcome::answered)
    {
        return core::fail(result.code,
                          core::to_string(peer) + target + ": " + result.text);
    }
    if (result.response.status != ok_status)
    {
        return core::fail(core::result_code::backend_failed,
                          core::to_string(peer) + target + ": status " +
                              std::to_string(result.response.status));
    }
    return std::move(result.response.body);
}

bool add_backend_executions(std::string const& text, execution_counts& sum)
{
    return read_document(text,
                         [&sum](json const& document)
                         { add_counts(document.at("executions"), "id", sum); });
}

bool add_worker_executions(std::string const& text, worker_executions& sum)
{
    return read_document(
        text,
        [&sum](json const& document)
        {
            add_counts(document.at("finished"), "name", sum.finished);
            sum.starts += document.at("starts").get<std::uint64_t>();
            sum.evictions += document.at("evictions").get<std::uint64_t>();
            sum.permit_refusals +=
                document.at("permit_refusals").get<std::uint64_t>();
        });
}

std::optional<execution_counts>
fetch_backends(std::vector<core::endpoint> const& backends)
{
    return fetch_all<execution_counts>(backends, add_backend_executions);
}

std::optional<worker_executions>
fetch_workers(std::vector<core::endpoint> const& workers)
{
    return fetch_all<worker_executions>(workers, add_worker_executions);
}

std::optional<double> metric_sum(std::string const& text,
                                 std::string_view metric)
{
    std::istringstream lines(text);
    std::string line;
    std::optional<double> sum;
    while (std::getline(lines, line))
    {
        if (!line.starts_with(metric) || line.size() == metric.size() ||
            (line[metric.size()] != ' ' && line[metric.size()] != '{'))
        {
            continue;
        }
        auto const labels = line.rfind('}');
        auto const value =
            labels == std::string::npos ? metric.size() : labels + 1;
        sum = sum.value_or(0) + std::strtod(line.c_str() + value, nullptr);
    }
    return sum;
}

} // namespace turmericswitch::load
