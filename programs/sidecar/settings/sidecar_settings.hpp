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

/// Settings of a sidecar beside a worker that runs tasks.
struct worker_settings
{
    core::instance_id instance;
    /// Where the worker announces itself.
    core::endpoint registration;
    /// Where the worker takes orders.
    core::endpoint runtime;
};

/// Settings of `turmericswitch-sidecar`.
struct sidecar_settings
{
    shared::process_settings process;
    core::backend_id backend;
    /// Any of the service's and availability zone's names.
    core::service_id service;
    core::zone_id zone;
    /// Where gateways reach the sidecar, and where it serves its metrics.
    core::endpoint rpc;
    core::endpoint http;
    /// Where the backend server serves HTTP.
    core::endpoint server;
    /// What the backend server holds; rules may lower both.
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    /// Longest wait of a planned stop for requests in progress.
    core::duration drain_limit{};
    std::vector<core::endpoint> control;
    /// Set where the sidecar stands beside a worker instead of a backend
    /// server.
    std::optional<worker_settings> worker;
};

/// Reads all settings; problems are collected in the reader.
sidecar_settings parse_sidecar_settings(settings::settings_reader& reader);

} // namespace turmericswitch::sidecar

#endif
