#ifndef TURMERICSWITCH_SIDECAR_SETTINGS_SIDECAR_SETTINGS_HPP
#define TURMERICSWITCH_SIDECAR_SETTINGS_SIDECAR_SETTINGS_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "settings/settings.hpp"
#include "shared/daemon/daemon_main.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::sidecar
{

/// Settings of the sidecar of a worker that runs tasks.
struct worker_settings
{
    core::instance_id instance;
    /// Endpoint on which the sidecar accepts the worker's registration.
    core::endpoint registration;
    /// Endpoint of the worker's runtime, which starts and stops tasks.
    core::endpoint runtime;
};

/// Settings of `turmericswitch-sidecar`.
struct sidecar_settings
{
    shared::process_settings process;
    core::backend_id backend;
    /// Service and availability zone may be given by any of their names.
    core::service_id service;
    core::zone_id zone;
    /// Endpoint for gateways.
    core::endpoint rpc;
    /// Endpoint for metrics and health checks.
    core::endpoint http;
    /// HTTP endpoint of the backend server.
    core::endpoint server;
    /// Capacity of the backend server; rules may lower both values.
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    /// Maximum time that a planned stop waits for requests in progress.
    core::duration drain_limit{};
    std::vector<core::endpoint> control;
    /// Set if the sidecar serves a worker instead of a backend server.
    std::optional<worker_settings> worker;
};

/// Reads all settings; the reader collects the errors.
sidecar_settings parse_sidecar_settings(settings::settings_reader& reader);

} // namespace turmericswitch::sidecar

#endif
