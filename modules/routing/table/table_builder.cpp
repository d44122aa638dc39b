#include "routing/table/table_builder.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

namespace
{

std::string canonical_name(core::configuration const& config,
                           core::name_kind kind,
                           std::string const& name)
{
    for (auto const& entry : config.names)
    {
        bool const alias =
            std::find(entry.aliases.begin(), entry.aliases.end(), name) !=
            entry.aliases.end();
        if (entry.kind == kind && alias)
        {
            return entry.canonical;
        }
    }
    return name;
}

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

bool is_leaving(core::configuration const& config,
                core::backend_id const& backend)
{
    return std::any_of(config.leaving.begin(),
                       config.leaving.end(),
                       [&](auto const& rule)
                       { return rule.backend == backend; });
}

bool is_usable(route_table const* previous, core::watch_answer const& answer)
{
    if (answer.code != core::result_code::ok)
    {
        return core::fail_bool(answer.code, "control gave no answer");
    }
    if (previous == nullptr)
    {
        return (answer.config && answer.whole_registry) ||
               core::fail_bool(core::result_code::not_ready,
                               "first answer of control is not whole");
    }
    if (answer.registry < previous->registry)
    {
        return core::fail_bool(core::result_code::stale_sequence,
                               "registry of control is older than the table");
    }
    bool const same_epoch = answer.registry.epoch == previous->registry.epoch;
    return same_epoch || answer.whole_registry ||
           core::fail_bool(core::result_code::stale_sequence,
                           "registry delta of another epoch");
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

core::service_rule const* rule_of(core::configuration const& config,
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

core::service_id service_of(core::configuration const& config,
                            core::backend_entry const& entry)
{
    return core::service_id(canonical_name(
        config, core::name_kind::service, entry.service.value()));
}

core::zone_id zone_of(core::configuration const& config,
                      core::backend_entry const& entry)
{
    return core::zone_id(canonical_name(
        config, core::name_kind::zone, entry.place.zone.value()));
}

// The configuration's region comes first: an entry announced before the rules
// named its availability zone has none until its next announce.
core::location place_of(core::configuration const& config,
                        core::backend_entry const& entry)
{
    core::location place{zone_of(config, entry), entry.place.region};
    for (auto const& rule : config.zones)
    {
        if (rule.zone == place.zone)
        {
            place.region = rule.region;
        }
    }
    return place;
}

bool leaves(core::configuration const& config, core::backend_entry const& entry)
{
    return is_leaving(config,
                      core::backend_id(canonical_name(config,
                                                      core::name_kind::instance,
                                                      entry.backend.value())));
}

bool backends_changed(core::configuration const& before,
                      route_table const& table,
                      core::service_id const& service)
{
    auto const& after = table.config;
    auto const differs = [&](auto const& item)
    {
        auto const& entry = item.second;
        return service_of(after, entry) == service &&
               (zone_is_out(before, zone_of(before, entry)) !=
                    zone_is_out(after, zone_of(after, entry)) ||
                leaves(before, entry) != leaves(after, entry));
    };
    return std::any_of(table.entries.begin(), table.entries.end(), differs);
}

bool routes_changed(core::configuration const& before,
                    route_table const& table,
                    core::service_id const& service)
{
    auto const& after = table.config;
    return before.names != after.names ||
           !same_rule(rule_of(before, service), rule_of(after, service)) ||
           routes_of(before, service) != routes_of(after, service) ||
           backends_changed(before, table, service);
}

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
                 core::service_id const& service)
{
    service_routes made;
    auto const* const rule = rule_of(table.config, service);
    made.rule = rule != nullptr ? *rule : core::service_rule{};
    made.rule.service = service;
    auto const* const old =
        previous == nullptr ? nullptr : previous->find_service(service);
    bool const unchanged =
        old != nullptr && !routes_changed(previous->config, table, service);
    made.changed = unchanged ? old->changed : table.revision;
    made.latency =
        old != nullptr ? old->latency : std::make_shared<latency_quantile>();
    made.retries =
        old != nullptr ? old->retries : std::make_shared<retry_budget>();
    made.region_bytes = old != nullptr ? old->region_bytes
                                       : std::make_shared<region_byte_budget>();
    table.services.insert_or_assign(service, std::move(made));
}

backend_target const* find_counters(route_table const* previous,
                                    core::service_id const& service,
                                    core::backend_entry const& entry)
{
    auto const* const old =
        previous == nullptr ? nullptr : previous->find_service(service);
    if (old == nullptr)
    {
        return nullptr;
    }
    auto const found =
        std::find_if(old->backends.begin(),
                     old->backends.end(),
                     [&](auto const& target)
                     {
                         return target.entry.backend == entry.backend &&
                                target.entry.sidecar_incarnation ==
                                    entry.sidecar_incarnation;
                     });
    return found == old->backends.end() ? nullptr : &*found;
}

void add_backend(route_table& table,
                 route_table const* previous,
                 core::backend_entry const& entry)
{
    auto const service = service_of(table.config, entry);
    auto const found = table.services.find(service);
    if (found == table.services.end())
    {
        return;
    }
    backend_target target;
    target.entry = entry;
    target.place = place_of(table.config, entry);
    target.leaving = entry.draining || leaves(table.config, entry);
    target.zone_out = zone_is_out(table.config, target.place.zone);
    auto& ramp = table.ramps[target.place.zone];
    ramp = ramp != nullptr ? ramp : std::make_shared<zone_ramp>();
    target.ramp = ramp;
    auto const* const old = find_counters(previous, service, entry);
    target.load = old ? old->load : std::make_shared<backend_load>();
    target.outlier = old ? old->outlier : std::make_shared<outlier_tracker>();
    found->second.backends.push_back(std::move(target));
}

} // namespace

std::shared_ptr<route_table const> build_next(route_table const* previous,
                                              core::watch_answer const& answer,
                                              core::time_point now)
{
    if (!is_usable(previous, answer))
    {
        return nullptr;
    }
    auto table = previous != nullptr ? std::make_shared<route_table>(*previous)
                                     : std::make_shared<route_table>();
    if (answer.config &&
        (previous == nullptr || answer.current > previous->revision))
    {
        table->config = *answer.config;
        table->revision = answer.current;
        update_ramps(*table, previous, now);
    }
    apply_registry(*table, answer);
    table->services.clear();
    for (auto const& rule : table->config.services)
    {
        add_service(*table, previous, rule.service);
    }
    for (auto const& rule : table->config.routes)
    {
        add_service(*table, previous, rule.service);
    }
    for (auto const& [backend, entry] : table->entries)
    {
        add_backend(*table, previous, entry);
    }
    return table;
}

} // namespace turmericswitch::routing
