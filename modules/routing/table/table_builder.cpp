#include "routing/table/table_builder.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace turmericswitch::routing
{

namespace
{

bool zone_is_out(core::configuration const& config, core::zone_id const& zone)
{
    return std::any_of(config.zones.begin(),
                       config.zones.end(),
                       [&](auto const& rule)
                       {
                           return rule.zone == zone &&
                                  rule.state ==
                                      core::zone_state::out_of_service;
                       });
}

bool has_leaving_rule(core::configuration const& config,
                      core::backend_id const& backend)
{
    return std::any_of(config.leaving.begin(),
                       config.leaving.end(),
                       [&](auto const& rule)
                       { return rule.backend == backend; });
}

bool is_applicable(route_table const* previous,
                   core::watch_answer const& answer)
{
    if (answer.code != core::result_code::ok)
    {
        return core::fail_bool(answer.code, "control answered with an error");
    }
    if (previous == nullptr)
    {
        return (answer.config && answer.whole_registry) ||
               core::fail_bool(core::result_code::not_ready,
                               "first answer of control lacks the "
                               "configuration or the complete registry");
    }
    if (answer.registry < previous->registry)
    {
        return core::fail_bool(
            core::result_code::stale_sequence,
            "registry of the answer is older than that of the route table");
    }
    bool const same_epoch = answer.registry.epoch == previous->registry.epoch;
    return same_epoch || answer.whole_registry ||
           core::fail_bool(core::result_code::stale_sequence,
                           "registry delta belongs to another epoch");
}

void apply_registry(route_table& table, core::watch_answer const& answer)
{
    if (answer.whole_registry)
    {
        table.entries.clear();
    }
    for (auto const& entry : answer.changed)
    {
        table.entries[entry.backend] = entry;
    }
    for (auto const& backend : answer.removed)
    {
        table.entries.erase(backend);
    }
    table.registry = answer.registry;
}

std::vector<core::route_rule> routes_of(core::configuration const& config,
                                        core::service_id const& service)
{
    std::vector<core::route_rule> routes;
    std::copy_if(config.routes.begin(),
                 config.routes.end(),
                 std::back_inserter(routes),
                 [&](auto const& route) { return route.service == service; });
    return routes;
}

core::service_rule const* find_service_rule(core::configuration const& config,
                                            core::service_id const& service)
{
    auto const found =
        std::find_if(config.services.begin(),
                     config.services.end(),
                     [&](auto const& rule) { return rule.service == service; });
    return found == config.services.end() ? nullptr : &*found;
}

bool same_rule(core::service_rule const* a, core::service_rule const* b)
{
    return (a == nullptr && b == nullptr) ||
           (a != nullptr && b != nullptr && *a == *b);
}

core::service_id service_of(naming::name_table const& names,
                            core::backend_entry const& entry)
{
    return core::service_id(
        names.resolve_or_same(core::name_kind::service, entry.service.value()));
}

core::zone_id zone_of(naming::name_table const& names,
                      core::backend_entry const& entry)
{
    return core::zone_id(
        names.resolve_or_same(core::name_kind::zone, entry.place.zone.value()));
}

// The region of the configuration takes precedence: an entry announced before
// the rules named its availability zone has no region until its next announce.
core::location location_of(route_table const& table,
                           core::backend_entry const& entry)
{
    core::location place{zone_of(*table.names, entry), entry.place.region};
    for (auto const& rule : table.config.zones)
    {
        if (rule.zone == place.zone)
        {
            place.region = rule.region;
        }
    }
    return place;
}

bool backend_is_leaving(core::configuration const& config,
                        naming::name_table const& names,
                        core::backend_entry const& entry)
{
    return has_leaving_rule(
        config,
        core::backend_id(names.resolve_or_same(core::name_kind::instance,
                                               entry.backend.value())));
}

/// @param before The previous configuration, with the same names as the
/// table's.
/// @return Services with a backend server that the table's configuration takes
/// out of routing or returns to it.
std::set<core::service_id>
services_with_changed_backends(core::configuration const& before,
                               route_table const& table)
{
    std::set<core::service_id> changed;
    auto const& after = table.config;
    for (auto const& [backend, entry] : table.entries)
    {
        auto const zone = zone_of(*table.names, entry);
        if (zone_is_out(before, zone) != zone_is_out(after, zone) ||
            backend_is_leaving(before, *table.names, entry) !=
                backend_is_leaving(after, *table.names, entry))
        {
            changed.insert(service_of(*table.names, entry));
        }
    }
    return changed;
}

/// The services whose routes differ between the configurations of two tables;
/// none if both have the same configuration.
class changed_services
{
public:
    changed_services(route_table const* previous, route_table const& table)
        : m_before(previous == nullptr ? nullptr : &previous->config),
          m_after(table.config),
          m_same_config(previous != nullptr && previous->names == table.names)
    {
        m_all_changed = !m_same_config && (m_before == nullptr ||
                                           m_before->names != m_after.names);
        if (!m_same_config && !m_all_changed)
        {
            m_changed_by_backends =
                services_with_changed_backends(*m_before, table);
        }
    }

    bool contains(core::service_id const& service) const
    {
        return m_all_changed ||
               (!m_same_config &&
                (!same_rule(find_service_rule(*m_before, service),
                            find_service_rule(m_after, service)) ||
                 routes_of(*m_before, service) != routes_of(m_after, service) ||
                 m_changed_by_backends.contains(service)));
    }

private:
    core::configuration const* m_before;
    core::configuration const& m_after;
    bool m_same_config;
    bool m_all_changed = false;
    std::set<core::service_id> m_changed_by_backends;
};

void update_ramps(route_table& table,
                  route_table const* previous,
                  core::time_point now)
{
    for (auto const& rule : table.config.zones)
    {
        auto& ramp = table.ramps[rule.zone];
        if (ramp == nullptr)
        {
            ramp = std::make_shared<zone_ramp>();
        }
        bool const was_out =
            previous != nullptr && zone_is_out(previous->config, rule.zone);
        if (was_out && rule.state == core::zone_state::in_service)
        {
            ramp->returned(now);
        }
    }
}

void add_service(route_table& table,
                 route_table const* previous,
                 changed_services const& changed,
                 core::service_id const& service)
{
    service_routes routes;
    auto const* const rule = find_service_rule(table.config, service);
    routes.rule = rule != nullptr ? *rule : core::service_rule{};
    routes.rule.service = service;
    auto const* const old =
        previous == nullptr ? nullptr : previous->find_service(service);
    bool const unchanged = old != nullptr && !changed.contains(service);
    routes.last_changed = unchanged ? old->last_changed : table.revision;
    routes.latency =
        old != nullptr ? old->latency : std::make_shared<latency_quantile>();
    routes.retries =
        old != nullptr ? old->retries : std::make_shared<retry_budget>();
    routes.region_bytes = old != nullptr
                              ? old->region_bytes
                              : std::make_shared<region_byte_budget>();
    table.services.insert_or_assign(service, std::move(routes));
}

backend_target const* find_previous_target(route_table const* previous,
                                           core::service_id const& service,
                                           core::backend_entry const& entry)
{
    auto const* const old =
        previous == nullptr ? nullptr : previous->find_service(service);
    if (old == nullptr)
    {
        return nullptr;
    }
    // The backend servers of a table are sorted by id.
    auto const found =
        std::lower_bound(old->backends.begin(),
                         old->backends.end(),
                         entry.backend,
                         [](auto const& target, core::backend_id const& id)
                         { return target.entry.backend < id; });
    bool const is_same =
        found != old->backends.end() && found->entry.backend == entry.backend &&
        found->entry.sidecar_incarnation == entry.sidecar_incarnation;
    return is_same ? &*found : nullptr;
}

void add_backend(route_table& table,
                 route_table const* previous,
                 core::backend_entry const& entry)
{
    auto const service = service_of(*table.names, entry);
    auto const found = table.services.find(service);
    if (found == table.services.end())
    {
        return;
    }
    backend_target target;
    target.entry = entry;
    target.place = location_of(table, entry);
    target.leaving =
        entry.draining || backend_is_leaving(table.config, *table.names, entry);
    target.zone_out = zone_is_out(table.config, target.place.zone);
    auto& ramp = table.ramps[target.place.zone];
    ramp = ramp != nullptr ? ramp : std::make_shared<zone_ramp>();
    target.ramp = ramp;
    auto const* const old = find_previous_target(previous, service, entry);
    target.load = old ? old->load : std::make_shared<backend_load>();
    target.outlier = old ? old->outlier : std::make_shared<outlier_tracker>();
    found->second.backends.push_back(std::move(target));
}

} // namespace

std::shared_ptr<route_table const>
build_next_table(route_table const* previous,
                 core::watch_answer const& answer,
                 core::time_point now)
{
    if (!is_applicable(previous, answer))
    {
        return nullptr;
    }
    auto table = std::make_shared<route_table>();
    if (previous != nullptr)
    {
        table->revision = previous->revision;
        table->registry = previous->registry;
        table->config = previous->config;
        table->names = previous->names;
        table->entries = previous->entries;
        table->ramps = previous->ramps;
    }
    if (answer.config &&
        (previous == nullptr || answer.current > previous->revision))
    {
        table->config = *answer.config;
        table->names = std::make_shared<naming::name_table const>(
            naming::name_table::from_entries(table->config.names));
        table->revision = answer.current;
        update_ramps(*table, previous, now);
    }
    apply_registry(*table, answer);
    changed_services const changed(previous, *table);
    for (auto const& rule : table->config.services)
    {
        add_service(*table, previous, changed, rule.service);
    }
    for (auto const& rule : table->config.routes)
    {
        add_service(*table, previous, changed, rule.service);
    }
    for (auto const& [backend, entry] : table->entries)
    {
        add_backend(*table, previous, entry);
    }
    return table;
}

} // namespace turmericswitch::routing
