#ifndef TURMERICSWITCH_ROUTING_TABLE_ROUTE_TABLE_HPP
#define TURMERICSWITCH_ROUTING_TABLE_ROUTE_TABLE_HPP

#include "core/config/configuration.hpp"
#include "core/messages/registry.hpp"
#include "naming/table/name_table.hpp"
#include "routing/load/backend_load.hpp"
#include "routing/load/latency_quantile.hpp"
#include "routing/load/outlier_tracker.hpp"
#include "routing/load/region_byte_budget.hpp"
#include "routing/load/retry_budget.hpp"
#include "routing/load/zone_ramp.hpp"

#include <map>
#include <memory>
#include <string_view>

namespace turmericswitch::routing
{

/// One backend server of a service. `load`, `outlier` and `ramp` are shared
/// with earlier and later tables.
struct backend_target
{
    core::backend_entry entry;
    /// Names in `place` are canonical.
    core::location place;
    /// True when a rule takes it out of routing or it drains.
    bool leaving = false;
    /// True when its availability zone is out of service.
    bool zone_out = false;
    std::shared_ptr<backend_load> load;
    std::shared_ptr<outlier_tracker> outlier;
    std::shared_ptr<zone_ramp> ramp;
};

/// Routing state of one service. The budgets and `latency` are shared with
/// earlier and later tables.
struct service_routes
{
    core::service_rule rule;
    /// Configuration revision that last changed the service's routes.
    core::revision last_changed;
    std::vector<backend_target> backends;
    std::shared_ptr<retry_budget> retries;
    std::shared_ptr<region_byte_budget> region_bytes;
    std::shared_ptr<latency_quantile> latency;
};

/// Immutable snapshot of the routes, built by `build_next_table`.
struct route_table
{
    core::revision revision;
    core::registry_version registry;
    core::configuration config;
    /// Resolves the names of `config`; shared by all tables with the same
    /// configuration.
    std::shared_ptr<naming::name_table const> names;
    std::map<core::backend_id, core::backend_entry> entries;
    std::map<core::zone_id, std::shared_ptr<zone_ramp>> ramps;
    std::map<core::service_id, service_routes> services;

    /// @param target Request target; its query is ignored.
    /// @return The rule with the longest matching prefix, or null.
    core::route_rule const* find_route(std::string_view target) const;

    /// @param service Canonical name.
    /// @return The service, or null.
    service_routes const* find_service(core::service_id const& service) const;
};

} // namespace turmericswitch::routing

#endif
