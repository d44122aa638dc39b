#ifndef TURMERICSWITCH_SIDECAR_SERVICE_GRACEFUL_STOP_HPP
#define TURMERICSWITCH_SIDECAR_SERVICE_GRACEFUL_STOP_HPP

#include "sidecar/service/sidecar_service.hpp"

namespace turmericswitch::sidecar
{

/// Time limits of a planned stop.
struct stop_times
{
    /// Maximum time for requests in progress, counted from the drain.
    core::duration drain_limit{};
    /// Time for gateways to learn of the drain before the port closes.
    core::duration drain_propagation = std::chrono::milliseconds(500);
};

/// Drains the service and blocks until requests in progress have finished.
///
/// @return Number of requests still open when the drain limit passed.
std::size_t stop_gracefully(sidecar_service& service,
                            transport::rpc_server& rpc,
                            stop_times const& times);

} // namespace turmericswitch::sidecar

#endif
