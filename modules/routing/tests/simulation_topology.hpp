#ifndef TURMERICSWITCH_ROUTING_TESTS_SIMULATION_TOPOLOGY_HPP
#define TURMERICSWITCH_ROUTING_TESTS_SIMULATION_TOPOLOGY_HPP

#include "admission/admission.hpp"
#include "routing/routing.hpp"
#include "support/fake_network.hpp"

/// @file
/// Nodes, locations and limits of `request_path_simulation`.

namespace turmericswitch::routing
{

inline constexpr std::uint32_t control_node = 20;
inline constexpr std::uint32_t first_sidecar = 10;
inline constexpr std::size_t gateway_count = 2;
inline constexpr std::size_t sidecar_count = 3;
inline constexpr char const* zones[sidecar_count] = {"a", "b", "c"};
inline constexpr char const* regions[sidecar_count] = {"east", "east", "west"};
inline constexpr std::size_t gateway_zone[gateway_count] = {0, 2};

// Small, so that queues fill up and records of ended attempts are evicted.
inline admission::admission_limits const limits{2, 60, 2};
inline admission::history_limits const memory{6, 16};

inline std::uint32_t node_of(std::size_t sidecar)
{
    return first_sidecar + static_cast<std::uint32_t>(sidecar);
}

inline core::location location_of(std::size_t zone)
{
    return {core::zone_id(zones[zone]), core::region_id(regions[zone])};
}

inline testing::network_faults const faults{
    5, 10, std::chrono::milliseconds(1), std::chrono::milliseconds(30)};

inline core::configuration make_config()
{
    core::configuration config;
    for (std::size_t i = 0; i < sidecar_count; ++i)
    {
        config.zones.push_back(
            {location_of(i).zone, location_of(i).region, {}});
    }
    core::service_rule rule;
    rule.service = core::service_id("book");
    rule.slots_per_backend = limits.slots;
    rule.queue_per_backend = limits.queue;
    rule.request_timeout = std::chrono::milliseconds(400);
    // Allows a hedge of most idempotent requests.
    rule.retry_percent = 200;
    config.services.push_back(rule);
    config.routes.push_back({"/", rule.service, {"GET"}});
    return config;
}

inline std::string expected_answer(std::string const& body)
{
    return "answer to " + body;
}

} // namespace turmericswitch::routing

#endif
