#ifndef TURMERICSWITCH_ROUTING_FLOW_RESOLVED_ROUTE_HPP
#define TURMERICSWITCH_ROUTING_FLOW_RESOLVED_ROUTE_HPP

#include "core/messages/request_path.hpp"
#include "routing/table/route_table.hpp"

#include <optional>

namespace turmericswitch::routing
{

/// The route, rule and shared budgets of one request. Fixed at its arrival;
/// later route tables don't change them.
struct resolved_route
{
    core::service_id service;
    core::service_rule rule;
    bool idempotent = false;
    std::shared_ptr<retry_budget> retries;
    std::shared_ptr<region_byte_budget> region_bytes;
    std::shared_ptr<latency_quantile> latency;
};

/// @return The route of the request, or nothing when no rule matches.
std::optional<resolved_route>
resolve_route(route_table const& table, core::request_content const& content);

} // namespace turmericswitch::routing

#endif
