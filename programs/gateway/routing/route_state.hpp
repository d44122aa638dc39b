#ifndef TURMERICSWITCH_GATEWAY_ROUTING_ROUTE_STATE_HPP
#define TURMERICSWITCH_GATEWAY_ROUTING_ROUTE_STATE_HPP

#include "gateway/routing/sidecar_links.hpp"
#include "shared/control_link/config_watch.hpp"
#include "telemetry/telemetry.hpp"

#include <memory>

namespace turmericswitch::gateway
{

/// The gateway's state from control: the route table, the gateway's location,
/// and the connections to the sidecars of the table.
class route_state
{
public:
    /// @param io Must outlive the state.
    /// @param zone Any name of the gateway's availability zone.
    route_state(transport::io_pool& io,
                core::zone_id zone,
                std::uint64_t random_seed);

    /// Applies an update from control; for `shared::config_watch`.
    ///
    /// @return What is in force now. An update that is rejected changes
    /// nothing.
    shared::config_watch::known_state apply(core::watch_answer const& update);

    routing::table_publisher const& tables() const noexcept;
    core::snapshot_publisher<core::location> const& location() const noexcept;
    sidecar_links const& links() const noexcept;

private:
    core::location find_location(core::configuration const& config) const;

    telemetry::logger m_log{"gateway"};
    core::zone_id m_zone;
    routing::table_publisher m_tables;
    core::snapshot_publisher<core::location> m_location;
    sidecar_links m_links;
};

} // namespace turmericswitch::gateway

#endif
