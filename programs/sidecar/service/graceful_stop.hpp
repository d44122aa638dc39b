#ifndef TURMERICSWITCH_SIDECAR_SERVICE_GRACEFUL_STOP_HPP
#define TURMERICSWITCH_SIDECAR_SERVICE_GRACEFUL_STOP_HPP

#include "sidecar/service/sidecar_service.hpp"

namespace turmericswitch::sidecar
{

/// Times of a planned stop.
struct stop_times
{
    /// Longest wait for requests in progress.
    core::duration limit{};
    /// Lets gateways learn of the drain before the port closes.
    core::duration route_change = std::chrono::milliseconds(500);
};

/// Drains the service and finishes what is in progress. Blocks.
///
/// @return Requests that were cut because the limit passed.
std::size_t stop_gracefully(sidecar_service& service,
                            transport::rpc_server& rpc,
                            stop_times const& times);

} // namespace turmericswitch::sidecar

#endif
