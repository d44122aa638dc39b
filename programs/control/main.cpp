#include "api/operator_api.hpp"
#include "api/process_api.hpp"
#include "api/worker_api.hpp"
#include "core/results/last_reason.hpp"
#include "node/control_node.hpp"
#include "node/recovery.hpp"
#include "process/process.hpp"
#include "settings/control_settings.hpp"
#include "store/files/real_file_system.hpp"
#include "wire/codec/protocol_version.hpp"

#include <iostream>
#include <random>
#include <thread>

namespace turmericswitch::control
{

namespace
{

constexpr std::size_t io_threads = 2;
/// Open streams of gateways and sidecars end at the latest after this.
constexpr core::duration drain_limit = std::chrono::seconds(5);
constexpr core::duration drain_poll = std::chrono::milliseconds(20);

constexpr auto usage =
    R"(turmericswitch-control - keeps the replicated state and places tasks.

Usage:
  turmericswitch-control --config FILE [--bootstrap | --join] [--check-config]
  turmericswitch-control --help
  turmericswitch-control --version

Options:
  --config FILE   Settings file (INI).
  --check-config  Check the settings file and exit.
  --bootstrap     Start as one of the first members of a new group. Only with
                  an empty data folder.
  --join          Start as a new member that waits until operators add it.
                  Only with an empty data folder and a new member number.
  --help          Show this text.
  --version       Show the version.
)";

telemetry::log_level level_named(std::string const& name)
{
    using telemetry::log_level;
    for (auto const level :
         {log_level::debug, log_level::warning, log_level::error})
    {
        if (name == telemetry::to_string(level))
        {
            return level;
        }
    }
    return log_level::info;
}

start_mode mode_of(process::arguments const& words)
{
    if (words.flag("--bootstrap"))
    {
        return start_mode::bootstrap;
    }
    return words.flag("--join") ? start_mode::join : start_mode::normal;
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

web::http_handler make_http_handler(control_node& node,
                                    operator_api& operators,
                                    worker_api& workers)
{
    auto routes = operators.routes();
    routes.push_back({"POST",
                      "/v1/workers/heartbeat",
                      [&workers](web::http_request const& request,
                                 web::path_parameters const&)
                      { return workers.heartbeat(request); }});
    auto const pages = std::make_shared<telemetry::status_pages>(
        node.metrics(), [&node] { return node.readiness(); });
    return [pages, router = web::router(std::move(routes))](
               web::http_request const& request)
    {
        if (auto const page = pages->get(request.target))
        {
            auto response = web::text_response(page->body, page->content_type);
            response.status = page->status;
            return response;
        }
        return router(request);
    };
}

/// Runs the instance until a signal.
///
/// @return The exit status.
int serve(control_settings const& settings,
          start_mode mode,
          process::shutdown_signal& signal)
{
    telemetry::logger const log("control");
    store::real_file_system files;
    auto parts = recover(files, settings, mode, random_seed());
    if (!parts)
    {
        log.error("can't start: " + core::last_reason().text);
        return static_cast<int>(core::last_reason().code) % 256;
    }
    transport::io_pool io(io_threads);
    control_node node(io, std::move(*parts), settings.duties);
    process_api processes(node);
    operator_api operators(node);
    worker_api workers(node);

    transport::connection_options connection;
    connection.protocol_version = wire::protocol_version;
    auto rpc = transport::rpc_server::listen(
        io,
        settings.rpc,
        [&processes](transport::rpc_request const& request,
                     transport::responder answer)
        { processes.handle(request, std::move(answer)); },
        connection,
        [&log](std::string const& text) { log.warning(text); });
    web::server_options http_options;
    http_options.listen_on = settings.http;
    http_options.worker_threads = static_cast<unsigned>(settings.http_threads);
    auto http =
        rpc ? web::http_server::start(
                  http_options, make_http_handler(node, operators, workers))
            : nullptr;
    if (!http)
    {
        log.error("can't listen: " + core::last_reason().text);
        return static_cast<int>(core::last_reason().code) % 256;
    }
    node.start();
    if (!settings.ports_file.empty() &&
        !process::write_ports_file(
            settings.ports_file,
            {{"rpc", rpc->bound().port}, {"http", http->bound().port}}))
    {
        log.error("can't write the ports file: " + core::last_reason().text);
        return static_cast<int>(core::last_reason().code) % 256;
    }
    log.info("member " + std::to_string(settings.member.value()) +
             " listens on " + to_string(rpc->bound()) + " and " +
             to_string(http->bound()));
    signal.wait();

    auto const stopped = http->stop();
    node.stop();
    rpc->stop_accepting();
    auto const until = event_loop::now() + drain_limit;
    while (!rpc->drained() && event_loop::now() < until)
    {
        std::this_thread::sleep_for(drain_poll);
    }
    auto const cut = http->in_progress() + rpc->open_calls();
    log.info("stopped: " + std::to_string(stopped.finished) +
             " requests in progress finished, " + std::to_string(cut) + " cut");
    return 0;
}

int run(std::vector<std::string> const& words)
{
    auto const arguments =
        process::parse_arguments(usage, words, TURMERICSWITCH_VERSION);
    if (!arguments.parsed)
    {
        (arguments.exit_status == 0 ? std::cout : std::cerr)
            << arguments.message << '\n';
        return arguments.exit_status;
    }
    auto const& given = *arguments.parsed;
    auto reader = settings::settings_reader::load(*given.text("--config"));
    if (!reader)
    {
        std::cerr << core::last_reason().text << '\n';
        return static_cast<int>(core::last_reason().code) % 256;
    }
    auto const settings = parse_control_settings(*reader);
    if (!reader->finish())
    {
        for (auto const& error : reader->errors())
        {
            std::cerr << reader->to_string(error) << '\n';
        }
        return static_cast<int>(core::last_reason().code) % 256;
    }
    if (given.flag("--check-config"))
    {
        return 0;
    }
    // Before the first thread, so that no thread takes the signal.
    process::shutdown_signal signal;
    auto const logging = telemetry::logging::start(
        {level_named(settings.log_level), settings.log_file});
    if (!logging)
    {
        std::cerr << core::last_reason().text << '\n';
        return static_cast<int>(core::last_reason().code) % 256;
    }
    return serve(settings, mode_of(given), signal);
}

} // namespace

} // namespace turmericswitch::control

int main(int argc, char** argv)
{
    return turmericswitch::control::run({argv + 1, argv + argc});
}
