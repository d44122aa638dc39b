#ifndef TURMERICSWITCH_GATEWAY_ROUTING_ROUTE_STATE_HPP
#define TURMERICSWITCH_GATEWAY_ROUTING_ROUTE_STATE_HPP

#include "gateway/routing/sidecar_links.hpp"
#include "shared/control_link/config_watch.hpp"
#include "telemetry/telemetry.hpp"

#include <memory>

namespace turmericswitch::gateway
{

/// What the gateway knows from control: the route table, its own place, and
/// the links that follow from them.
class route_state
{
public:
    /// @param zone Any name of the gateway's availability zone.
    route_state(transport::io_pool& io,
                core::zone_id zone,
                std::uint64_t random_seed);

    /// Takes news of control; for `shared::config_watch`.
    shared::config_watch::known_state apply(core::watch_answer const& news);

    routing::table_publisher const& tables() const noexcept;
    core::snapshot_publisher<core::location> const& place() const noexcept;
    sidecar_links const& links() const noexcept;

private:
    core::location find_place(core::configuration const& config) const;

    telemetry::logger m_log{"gateway"};
    core::zone_id m_zone;
    routing::table_publisher m_tables;
    core::snapshot_publisher<core::location> m_place;
    sidecar_links m_links;
};

} // namespace turmericswitch::gateway

#endif
