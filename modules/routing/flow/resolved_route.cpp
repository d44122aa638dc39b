#include "routing/flow/resolved_route.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

std::optional<resolved_route>
resolve_route(route_table const& table, core::request_content const& content)
{
    auto const* const rule = table.find_route(content.target);
    auto const* const service =
        rule == nullptr ? nullptr : table.find_service(rule->service);
    if (service == nullptr)
    {
        return std::nullopt;
    }
    auto const& methods = rule->idempotent_methods;
    resolved_route route;
    route.service = rule->service;
    route.rule = service->rule;
    route.idempotent =
        std::find(methods.begin(), methods.end(), content.method) !=
        methods.end();
    route.retries = service->retries;
    route.region_bytes = service->region_bytes;
    route.latency = service->latency;
    return route;
}

} // namespace turmericswitch::routing
