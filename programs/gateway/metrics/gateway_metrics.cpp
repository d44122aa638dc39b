#include "gateway/metrics/gateway_metrics.hpp"

namespace turmericswitch::gateway
{

namespace
{

using telemetry::labelled_value;
using telemetry::metric_kind;

struct counter_definition
{
    char const* name;
    char const* help;
    std::atomic<std::uint64_t> routing::flow_counters::*value;
};

constexpr counter_definition counter_definitions[] = {
    {"attempts", "Attempts sent.", &routing::flow_counters::attempts},
    {"retries",
     "Attempts after the end of another one of the same request.",
     &routing::flow_counters::retries},
    {"hedges",
     "Attempts beside a slow one of the same request.",
     &routing::flow_counters::hedges},
    {"hedge_wins",
     "Hedges whose answer was delivered.",
     &routing::flow_counters::hedge_wins},
    {"hedge_losers",
     "Attempts dropped because the other one ended the request.",
     &routing::flow_counters::hedge_losers},
    {"refused",
     "Requests that ended as not run.",
     &routing::flow_counters::refused},
    {"attempts_refused",
     "Attempts refused by sidecars.",
     &routing::flow_counters::attempts_refused},
    {"outcome_unknown",
     "Requests that ended without an answer and may have run.",
     &routing::flow_counters::outcome_unknown},
    {"late_answers",
     "Answers dropped because their attempt was closed.",
     &routing::flow_counters::late_answers},
    {"broken_answers",
     "Answers dropped because they were not whole.",
     &routing::flow_counters::broken_answers},
    {"cancels", "Cancels sent.", &routing::flow_counters::cancels}};

void add_counters(telemetry::metrics_registry& metrics,
                  routing::flow_counters const& counters)
{
    for (auto const& definition : counter_definitions)
    {
        metrics.add_counter_hook("turmericswitch_gateway_" +
                                     std::string(definition.name) + "_total",
                                 definition.help,
                                 [&value = counters.*definition.value]
                                 { return static_cast<double>(value.load()); });
    }
}

void add_traffic(telemetry::metrics_registry& metrics,
                 route_state const& routes,
                 shared::control_link const& control)
{
    auto const sum = [](transport::traffic const& bytes)
    { return static_cast<double>(bytes.sent + bytes.received); };
    metrics.add_counter_hook("turmericswitch_gateway_region_bytes_total",
                             "Bytes exchanged with sidecars in other regions.",
                             [&routes, sum]
                             { return sum(routes.links().region_traffic()); });
    metrics.add_counter_hook("turmericswitch_gateway_control_bytes_total",
                             "Bytes exchanged with control.",
                             [&control, sum]
                             { return sum(control.transferred()); });
}

/// @return Hook with one value for each service of the table in force.
template <typename Read>
telemetry::family_hook each_service(route_state const& routes, Read read)
{
    return [&routes, read]
    {
        std::vector<labelled_value> values;
        auto const table = routes.tables().current();
        if (!table)
        {
            return values;
        }
        for (auto const& [name, service] : table->services)
        {
            values.push_back({{{"service", name.value()}}, read(service)});
        }
        return values;
    };
}

/// @return Hook with one value for each backend server of the table in force.
template <typename Read>
telemetry::family_hook each_backend(route_state const& routes, Read read)
{
    return [&routes, read]
    {
        std::vector<labelled_value> values;
        auto const table = routes.tables().current();
        if (!table)
        {
            return values;
        }
        for (auto const& [name, service] : table->services)
        {
            for (auto const& target : service.backends)
            {
                values.push_back({{{"backend", target.entry.backend.value()},
                                   {"service", name.value()}},
                                  read(target)});
            }
        }
        return values;
    };
}

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

void add_service_values(telemetry::metrics_registry& metrics,
                        route_state const& routes)
{
    metrics.add_family_hook(
        "turmericswitch_gateway_retry_tokens",
        "Retries and hedges that the budget allows now.",
        metric_kind::gauge,
        each_service(routes,
                     [](routing::service_routes const& service) {
                         return static_cast<double>(service.retries->tokens());
                     }));
    metrics.add_family_hook(
        "turmericswitch_gateway_hedge_delay_seconds",
        "Estimated 95th percentile, after which an attempt is hedged.",
        metric_kind::gauge,
        each_service(routes,
                     [](routing::service_routes const& service)
                     { return seconds(service.latency->value()); }));
}

void add_backend_values(telemetry::metrics_registry& metrics,
                        route_state const& routes)
{
    metrics.add_family_hook(
        "turmericswitch_gateway_outstanding",
        "Attempts of this gateway in progress.",
        metric_kind::gauge,
        each_backend(routes,
                     [](routing::backend_target const& target) {
                         return static_cast<double>(target.load->outstanding());
                     }));
    metrics.add_family_hook(
        "turmericswitch_gateway_latency_seconds",
        "Smoothed time from attempt to whole answer.",
        metric_kind::gauge,
        each_backend(routes,
                     [](routing::backend_target const& target)
                     { return seconds(target.load->latency()); }));
    metrics.add_family_hook(
        "turmericswitch_gateway_ejected",
        "1 while left out after failures.",
        metric_kind::gauge,
        each_backend(routes,
                     [](routing::backend_target const& target)
                     { return target.outlier->ejected() ? 1.0 : 0.0; }));
}

} // namespace

void add_gateway_metrics(telemetry::metrics_registry& metrics,
                         route_state const& routes,
                         shared::control_link const& control,
                         routing::flow_counters const& counters)
{
    add_counters(metrics, counters);
    add_traffic(metrics, routes, control);
    add_service_values(metrics, routes);
    add_backend_values(metrics, routes);
    metrics.add_gauge_hook(
        "turmericswitch_gateway_revision",
        "Configuration revision in force here.",
        [&routes]
        {
            auto const table = routes.tables().current();
            return table ? static_cast<double>(table->revision.value()) : 0.0;
        });
}

void add_transfer_metrics(telemetry::metrics_registry& metrics,
                          shared::config_watch const& watch)
{
    auto const add = [&](std::string const& name,
                         std::string const& help,
                         std::uint64_t shared::transfer_totals::*total)
    {
        metrics.add_counter_hook(
            "turmericswitch_gateway_config_" + name + "_total",
            help,
            [&watch, total]
            { return static_cast<double>(watch.transfers().*total); });
    };
    using totals = shared::transfer_totals;
    add("bytes", "Bytes of configuration received.", &totals::bytes);
    add("chunks", "Chunks of configuration received.", &totals::chunks);
    add("deltas", "Changes received as deltas.", &totals::deltas);
    add("wholes", "Whole configurations received.", &totals::wholes);
    add("failures", "Failed calls and unusable contents.", &totals::failures);
}

} // namespace turmericswitch::gateway
