#include "gateway/routing/route_state.hpp"

#include "core/results/last_reason.hpp"
#include "naming/table/name_table.hpp"
#include "process/loop/event_loop.hpp"

#include <utility>

namespace turmericswitch::gateway
{

route_state::route_state(transport::io_pool& io,
                         core::zone_id zone,
                         std::uint64_t random_seed)
    : m_zone(std::move(zone)), m_links(io, random_seed)
{
}

shared::config_watch::known_state
route_state::apply(core::watch_answer const& update)
{
    auto const previous = m_tables.current();
    auto const next = routing::build_next_table(
        previous.get(), update, process::event_loop::now());
    if (!next)
    {
        m_log.warning("update from control rejected: " +
                      core::last_reason().text);
        return previous ? shared::config_watch::known_state{previous->revision,
                                                            previous->registry}
                        : shared::config_watch::known_state{};
    }
    if (!previous || previous->revision != next->revision)
    {
        m_location.publish(std::make_shared<core::location const>(
            find_location(next->config)));
        m_log.info("configuration revision " +
                   std::to_string(next->revision.value()) + " is in force");
    }
    // The links are updated first, so that the table never names a sidecar
    // without one.
    m_links.update(*next, m_location.current()->region);
    m_tables.publish(next);
    return {next->revision, next->registry};
}

core::location
route_state::find_location(core::configuration const& config) const
{
    auto const names = naming::name_table::from_entries(config.names);
    core::location location{core::zone_id(names.resolve_or_same(
                                core::name_kind::zone, m_zone.value())),
                            {}};
    for (auto const& rule : config.zones)
    {
        if (rule.zone == location.zone)
        {
            location.region = rule.region;
        }
    }
    return location;
}

routing::table_publisher const& route_state::tables() const noexcept
{
    return m_tables;
}

core::snapshot_publisher<core::location> const&
route_state::location() const noexcept
{
    return m_location;
}

sidecar_links const& route_state::links() const noexcept
{
    return m_links;
}

} // namespace turmericswitch::gateway
