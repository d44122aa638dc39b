#include "settings/values/parse_value.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "web/web.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

// Stand-in for a backend server: works for the time that the request asks
// for, and counts how often it executed each request.

namespace turmericswitch::standins
{

namespace
{

constexpr unsigned threads = 64;

struct backend_settings
{
    shared::process_settings process;
    core::endpoint http;
    core::duration work{};
};

backend_settings parse_backend_settings(settings::settings_reader& reader)
{
    backend_settings read;
    read.process = shared::parse_process_settings(reader);
    read.http = reader.endpoint({"backend", "http"});
    read.work =
        reader.duration({"backend", "work"}, std::chrono::milliseconds(5));
    return read;
}

/// Counts executions by the caller's request id.
class execution_log
{
public:
    void add(std::string const& id)
    {
        std::lock_guard const lock(m_mutex);
        ++m_counts[id];
    }

    std::string to_json() const
    {
        std::lock_guard const lock(m_mutex);
        auto list = nlohmann::json::array();
        for (auto const& [id, count] : m_counts)
        {
            list.push_back({{"id", id}, {"count", count}});
        }
        return nlohmann::json{{"executions", std::move(list)}}.dump();
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

core::duration work_of(web::http_request const& request,
                       core::duration otherwise)
{
    auto const* const text = web::find_field(request.fields, "X-Work-Us");
    auto const number =
        text != nullptr ? settings::parse_integer(*text) : std::nullopt;
    return number ? core::duration(*number) : otherwise;
}

web::http_response answer(web::http_request const& request,
                          execution_log& executions,
                          core::duration work)
{
    if (request.target == "/standin/executions")
    {
        return web::json_response(executions.to_json());
    }
    auto const* const id = web::find_field(request.fields, "X-Request-Id");
    auto const name = id != nullptr ? *id : std::string();
    executions.add(name);
    std::this_thread::sleep_for(work_of(request, work));
    return web::json_response(
        nlohmann::json{{"id", name}, {"pad", std::string(64, 'x')}}.dump());
}

bool serve(backend_settings const& settings, process::shutdown_signal& signal)
{
    execution_log executions;
    web::server_options options;
    options.listen_on = settings.http;
    options.worker_threads = threads;
    auto const http = web::http_server::start(
        options,
        [&](web::http_request const& request)
        { return answer(request, executions, settings.work); });
    if (!http || !shared::publish_ports(settings.process,
                                        {{"http", http->bound().port}}))
    {
        return false;
    }
    signal.wait();
    http->stop();
    return true;
}

} // namespace

} // namespace turmericswitch::standins

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    return shared::run_daemon(
        {{"backend-standin", "a backend server for tests", {}},
         TURMERICSWITCH_VERSION,
         "backend-standin"},
        {argv + 1, argv + argc},
        &standins::parse_backend_settings,
        &standins::serve);
}
