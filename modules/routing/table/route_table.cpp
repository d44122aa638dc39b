#include "routing/table/route_table.hpp"

namespace turmericswitch::routing
{

core::route_rule const* route_table::find_route(std::string_view target) const
{
    auto const path = target.substr(0, target.find('?'));
    core::route_rule const* best = nullptr;
    for (auto const& route : config.routes)
    {
        bool const longer = best == nullptr ||
                            route.path_prefix.size() > best->path_prefix.size();
        if (longer && path.starts_with(route.path_prefix))
        {
            best = &route;
        }
    }
    return best;
}

service_routes const*
route_table::find_service(core::service_id const& service) const
{
    auto const found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace turmericswitch::routing
