#include "shared/control_link/config_watch.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "shared/daemon/status_handler.hpp"
#include "shared/peers/control_endpoints.hpp"
#include "sidecar/service/graceful_stop.hpp"
#include "sidecar/worker/worker_service.hpp"
#include "wire/codec/protocol_version.hpp"

namespace turmericswitch::sidecar
{

namespace
{

constexpr std::size_t io_threads = 2;
/// For status pages only.
constexpr unsigned http_threads = 4;

/// Runs the sidecar of a worker until the shutdown signal.
///
/// @return False with a reason if it could not start.
bool serve_worker(sidecar_settings const& settings,
                  process::shutdown_signal& signal)
{
    constexpr std::size_t agent_threads = 1;
    constexpr unsigned registration_threads = 2;
    telemetry::logger const log("sidecar");
    auto const incarnation = process::random_seed();
    telemetry::metrics_registry metrics;
    transport::io_pool io(agent_threads);
    shared::control_link control(io, settings.control, incarnation);
    worker_service service(
        io, control, *settings.worker, core::incarnation(incarnation), metrics);
    control.watch_leader();
    web::server_options options;
    options.listen_on = settings.worker->registration;
    options.also_listen_on = {settings.http};
    options.worker_threads = registration_threads;
    auto const http =
        web::http_server::start(options,
                                shared::with_status_pages(
                                    metrics,
                                    [&service] { return service.readiness(); },
                                    web::router(service.routes())));
    if (!http || !shared::publish_ports(settings.process,
                                        {{"http", http->bound().port}}))
    {
        return false;
    }
    log.write({core::event_code::process_started,
               {core::text_field("process", settings.worker->instance.value()),
                core::text_field("address", to_string(http->bound())),
                core::text_field("worker", to_string(settings.worker->runtime)),
                core::number_field("life", incarnation)}});
    shared::reload_seeds_on_change(
        signal, settings.process.settings_file, control);
    signal.wait();
    log.write({core::event_code::process_stopping, {}});
    http->stop();
    service.stop();
    log.write({core::event_code::process_stopped, {}});
    return true;
}

bool serve(sidecar_settings const& settings, process::shutdown_signal& signal)
{
    if (settings.worker)
    {
        return serve_worker(settings, signal);
    }
    telemetry::logger const log("sidecar");
    auto const incarnation = process::random_seed();
    telemetry::metrics_registry metrics;
    transport::io_pool io(io_threads);
    auto control = std::make_unique<shared::control_link>(
        io, settings.control, incarnation);
    metrics.add_gauge_hook("turmericswitch_sidecar_control_bytes_total",
                           "Bytes exchanged with control.",
                           [&link = *control]
                           {
                               auto const [sent, received] = link.transferred();
                               return static_cast<double>(sent + received);
                           });
    sidecar_service service(
        settings, *control, metrics, core::incarnation(incarnation));
    shared::config_watch watch(
        io,
        *control,
        core::client_id("sidecar " + settings.backend.value()),
        [&service](core::watch_answer const& update)
        {
            service.configure(update);
            return shared::config_watch::known_state{update.current, {}};
        },
        shared::watch_options{core::backend_scope{
            settings.backend, settings.service, settings.zone}});
    transport::connection_options connection;
    connection.protocol_version = wire::protocol_version;
    auto const rpc = transport::rpc_server::listen(
        io,
        settings.rpc,
        [&service](transport::rpc_request const& request,
                   transport::responder answer)
        { service.handle(request, std::move(answer)); },
        connection,
        [&log](std::string const& text) { log.warning(text); });
    web::server_options options;
    options.listen_on = settings.http;
    options.worker_threads = http_threads;
    auto const http =
        rpc ? web::http_server::start(
                  options,
                  shared::with_status_pages(
                      metrics,
                      [&service] { return service.readiness(); },
                      [](web::http_request const&)
                      {
                          return web::error_response(
                              core::result_code::unknown_path,
                              "a sidecar serves status pages only");
                      }))
            : nullptr;
    if (!http || !shared::publish_ports(settings.process,
                                        {{"rpc", rpc->bound().port},
                                         {"http", http->bound().port}}))
    {
        return false;
    }
    control->watch_leader();
    service.start(rpc->bound());
    watch.start();
    log.info(settings.backend.value() + " listens on " +
             to_string(rpc->bound()));
    signal.wait();

    auto const in_progress = service.running();
    auto const cut = stop_gracefully(service, *rpc, {settings.drain_limit});
    log.info(
        "stopped: " + std::to_string(in_progress - std::min(cut, in_progress)) +
        " requests in progress finished, " + std::to_string(cut) + " cut");
    return true;
}

} // namespace

} // namespace turmericswitch::sidecar

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    return shared::run_daemon(
        {{"turmericswitch-sidecar",
          "admits requests to the backend server beside it",
          {}},
         TURMERICSWITCH_VERSION,
         "sidecar"},
        {argv + 1, argv + argc},
        &sidecar::parse_sidecar_settings,
        &sidecar::serve);
}
