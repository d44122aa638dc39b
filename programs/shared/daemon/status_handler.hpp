#ifndef TURMERICSWITCH_SHARED_DAEMON_STATUS_HANDLER_HPP
#define TURMERICSWITCH_SHARED_DAEMON_STATUS_HANDLER_HPP

#include "telemetry/telemetry.hpp"
#include "web/web.hpp"

namespace turmericswitch::shared
{

/// Serves /metrics, /healthz and /readyz, and passes other requests to `next`.
///
/// @param registry Must outlive the handler.
/// @param readiness Returns an empty text when ready, else the reason.
web::http_handler with_status_pages(telemetry::metrics_registry const& registry,
                                    telemetry::readiness_hook readiness,
                                    web::http_handler next);

} // namespace turmericswitch::shared

#endif
