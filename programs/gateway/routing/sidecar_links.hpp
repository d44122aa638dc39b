#ifndef TURMERICSWITCH_GATEWAY_ROUTING_SIDECAR_LINKS_HPP
#define TURMERICSWITCH_GATEWAY_ROUTING_SIDECAR_LINKS_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "routing/routing.hpp"
#include "transport/transport.hpp"

#include <map>
#include <memory>

namespace turmericswitch::gateway
{

/// A connection to one sidecar, and whether it crosses the region link.
struct sidecar_link
{
    std::shared_ptr<transport::rpc_client> client;
    bool crosses_region = false;
};

using link_map = std::map<core::endpoint, sidecar_link>;

/// The connections of a gateway to the sidecars of its route table.
///
/// The thread that publishes route tables updates it; request threads read
/// through their own `core::snapshot_reader`.
class sidecar_links
{
public:
    /// @param io Must outlive the links.
    sidecar_links(transport::io_pool& io, std::uint64_t random_seed);

    /// Opens links to new sidecars. A link that the table no longer needs is
    /// closed when the last request on it has ended.
    ///
    /// @param own_region Region of the gateway, canonical.
    void update(routing::route_table const& table,
                core::region_id const& own_region);

    core::snapshot_publisher<link_map> const& published() const noexcept;

    /// @return Bytes exchanged over the region link so far.
    transport::traffic region_traffic() const;

private:
    transport::io_pool& m_io;
    std::uint64_t m_seed;
    core::snapshot_publisher<link_map> m_published;
    mutable std::mutex m_mutex;
    transport::traffic m_closed;
};

} // namespace turmericswitch::gateway

#endif
