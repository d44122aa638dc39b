#ifndef TURMERICSWITCH_GATEWAY_SETTINGS_GATEWAY_SETTINGS_HPP
#define TURMERICSWITCH_GATEWAY_SETTINGS_GATEWAY_SETTINGS_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "settings/settings.hpp"
#include "shared/daemon/daemon_main.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::gateway
{

/// Settings of a gateway that serves callers' jobs.
struct job_settings
{
    /// Address for callers.
    core::endpoint callers;
    /// Address where the load balancer checks readiness.
    core::endpoint readiness;
    /// How long the gateway continues to serve after a stop signal, so that the
    /// load balancer sees that it is not ready before it refuses connections.
    core::duration stop_delay{};
    /// Time within which an accepted configuration is in force at all gateways.
    /// A gateway that was not confirmed to be current for longer does not
    /// report queues as unknown.
    core::duration max_config_age{};
};

/// Settings of `turmericswitch-gateway`.
struct gateway_settings
{
    shared::process_settings process;
    /// Shown in status reports.
    std::string name;
    core::endpoint http;
    std::int64_t http_threads = 0;
    core::byte_count body_limit;
    std::int64_t io_threads = 0;
    /// Any of the availability zone's names.
    core::zone_id zone;
    /// Addresses where control instances listen for other processes.
    std::vector<core::endpoint> control;
    /// Addresses where control instances serve HTTP to operators and for jobs.
    std::vector<core::endpoint> control_http;
    /// Name of the load-balancing policy.
    std::string policy;
    /// If set, the gateway serves callers' jobs through the platform's
    /// interface instead of requests to backend servers.
    std::optional<job_settings> jobs;
};

/// Reads all settings. Problems are collected in the reader.
gateway_settings parse_gateway_settings(settings::settings_reader& reader);

} // namespace turmericswitch::gateway

#endif
