#ifndef TURMERICSWITCH_GATEWAY_METRICS_GATEWAY_METRICS_HPP
#define TURMERICSWITCH_GATEWAY_METRICS_GATEWAY_METRICS_HPP

#include "gateway/routing/route_state.hpp"
#include "shared/control_link/config_watch.hpp"
#include "shared/control_link/control_link.hpp"
#include "telemetry/telemetry.hpp"

namespace turmericswitch::gateway
{

/// Registers all metrics of the gateway except those of `request_metrics`.
///
/// @param metrics Must not be printed after the other arguments are destroyed.
void add_gateway_metrics(telemetry::metrics_registry& metrics,
                         route_state const& routes,
                         shared::control_link const& control,
                         routing::flow_counters const& counters);

/// Registers what the gateway has received by configuration transfers.
///
/// @param watch Must outlive the last printing of the metrics.
void add_transfer_metrics(telemetry::metrics_registry& metrics,
                          shared::config_watch const& watch);

} // namespace turmericswitch::gateway

#endif
