#include "gateway/jobs/job_gateway.hpp"
#include "gateway/metrics/gateway_metrics.hpp"
#include "gateway/requests/job_proxy.hpp"
#include "gateway/requests/request_runner.hpp"
#include "gateway/routing/route_state.hpp"
#include "gateway/settings/gateway_settings.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "shared/daemon/status_handler.hpp"
#include "shared/peers/control_endpoints.hpp"
#include "wire/json/decision_json.hpp"

#include <thread>

namespace turmericswitch::gateway
{

namespace
{

constexpr std::size_t decisions_per_ring = 2'000;
constexpr std::size_t decision_rings = 8;

/// Polls in the time for which a configuration counts as current, so that one
/// lost poll does not make it stale.
constexpr int polls_per_config_age = 3;

routing::balancing_policy make_policy(std::string const& name)
{
    if (name == "random")
    {
        return routing::random_policy();
    }
    if (name == "least_outstanding")
    {
        return routing::least_outstanding_policy();
    }
    if (name == "power_of_two")
    {
        return routing::power_of_two_policy();
    }
    return name == "power_of_two_latency"
               ? routing::power_of_two_latency_policy()
               : routing::least_expected_latency_policy();
}

web::http_handler make_handler(request_runner& runner,
                               job_proxy& jobs,
                               telemetry::decision_log& decisions)
{
    return [&](web::http_request const& request)
    {
        constexpr std::string_view explain = "/v1/explain/";
        if (request.target.starts_with("/v1/jobs"))
        {
            return jobs.forward(request);
        }
        if (request.target.starts_with(explain))
        {
            auto const subject =
                web::percent_decoded(request.target.substr(explain.size()));
            return web::json_response(
                wire::decisions_to_json(decisions.find(subject)));
        }
        return runner.serve(request);
    };
}

/// Serves callers' jobs until the shutdown signal.
///
/// @return False if the process could not start to serve.
bool serve_jobs(gateway_settings const& settings,
                process::shutdown_signal& signal)
{
    constexpr unsigned status_threads = 2;
    telemetry::logger const log("gateway");
    auto const seed = process::random_seed();
    telemetry::metrics_registry metrics;
    transport::io_pool io(static_cast<std::size_t>(settings.io_threads));
    shared::control_link control(io, settings.control, seed);
    job_gateway jobs(control, metrics, settings.jobs->max_config_age);
    shared::watch_options watched;
    watched.max_wait = settings.jobs->max_config_age / polls_per_config_age;
    watched.on_confirmed = [&jobs](core::time_point as_of)
    { jobs.config_confirmed(as_of); };
    shared::config_watch watch(
        io,
        control,
        core::client_id("gateway " + settings.name),
        [&](core::watch_answer const& update)
        {
            control.set_instances(update.control);
            return jobs.configure(update);
        },
        std::move(watched));
    add_transfer_metrics(metrics, watch);
    web::server_options options;
    options.listen_on = settings.jobs->callers;
    options.worker_threads = static_cast<unsigned>(settings.http_threads);
    options.body_limit = static_cast<std::size_t>(settings.body_limit.value());
    auto const callers = web::http_server::start(
        options, platform::caller_handler(jobs.hooks()));
    web::server_options status_options;
    status_options.listen_on = settings.jobs->readiness;
    status_options.also_listen_on = {settings.http};
    status_options.worker_threads = status_threads;
    auto const readiness = [&jobs] { return jobs.readiness(); };
    auto const status = callers
                            ? web::http_server::start(
                                  status_options,
                                  shared::with_status_pages(
                                      metrics,
                                      readiness,
                                      platform::readiness_handler(readiness)))
                            : nullptr;
    if (!status || !shared::publish_ports(settings.process,
                                          {{"http", callers->bound().port}}))
    {
        return false;
    }
    control.watch_leader();
    watch.start();
    log.write({core::event_code::process_started,
               {core::text_field("process", settings.name),
                core::text_field("address", to_string(callers->bound()))}});
    shared::reload_seeds_on_change(
        signal, settings.process.settings_file, control);
    signal.wait();

    jobs.begin_stop();
    log.write({core::event_code::process_stopping, {}});
    std::this_thread::sleep_for(settings.jobs->stop_delay);
    auto const stopped = callers->stop();
    log.write({core::event_code::process_stopped,
               {core::number_field("finished", stopped.finished),
                core::number_field("cut", callers->in_progress()),
                core::number_field("refused", stopped.refused)}});
    return true;
}

bool serve(gateway_settings const& settings, process::shutdown_signal& signal)
{
    if (settings.jobs)
    {
        return serve_jobs(settings, signal);
    }
    telemetry::logger const log("gateway");
    auto const seed = process::random_seed();
    telemetry::metrics_registry metrics;
    telemetry::decision_log decisions(decisions_per_ring, decision_rings);
    routing::flow_counters counters;
    request_metrics request_counts(metrics);
    transport::io_pool io(static_cast<std::size_t>(settings.io_threads));
    route_state routes(io, settings.zone, seed);
    shared::control_link control(io, settings.control, seed);
    request_runner runner({io,
                           routes,
                           control,
                           decisions,
                           request_counts,
                           counters,
                           make_policy(settings.policy),
                           seed});
    job_proxy jobs(settings.control_http);
    add_gateway_metrics(metrics, routes, control, counters);
    shared::config_watch watch(io,
                               control,
                               core::client_id("gateway " + settings.name),
                               [&routes](core::watch_answer const& update)
                               { return routes.apply(update); });
    add_transfer_metrics(metrics, watch);

    web::server_options options;
    options.listen_on = settings.http;
    options.worker_threads = static_cast<unsigned>(settings.http_threads);
    options.body_limit = static_cast<std::size_t>(settings.body_limit.value());
    auto const http = web::http_server::start(
        options,
        shared::with_status_pages(
            metrics,
            [&routes]
            {
                return routes.tables().current()
                           ? std::string()
                           : "no configuration from control yet";
            },
            make_handler(runner, jobs, decisions)));
    if (!http || !shared::publish_ports(settings.process,
                                        {{"http", http->bound().port}}))
    {
        return false;
    }
    control.watch_leader();
    watch.start();
    log.info(settings.name + " listens on " + to_string(http->bound()));
    signal.wait();

    auto const stopped = http->stop();
    log.info("stopped: " + std::to_string(stopped.finished) +
             " requests in progress finished, " +
             std::to_string(http->in_progress()) + " cut, " +
             std::to_string(stopped.refused) + " refused as not run");
    return true;
}

} // namespace

} // namespace turmericswitch::gateway

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    return shared::run_daemon({{"turmericswitch-gateway",
                                "routes callers' requests to backend servers",
                                {}},
                               TURMERICSWITCH_VERSION,
                               "gateway"},
                              {argv + 1, argv + argc},
                              &gateway::parse_gateway_settings,
                              &gateway::serve);
}
