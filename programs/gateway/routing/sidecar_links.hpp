#ifndef TURMERICSWITCH_GATEWAY_ROUTING_SIDECAR_LINKS_HPP
#define TURMERICSWITCH_GATEWAY_ROUTING_SIDECAR_LINKS_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "routing/routing.hpp"
#include "transport/transport.hpp"

#include <map>
#include <memory>

namespace turmericswitch::gateway
{

/// The connection to one sidecar.
struct sidecar_link
{
    std::shared_ptr<transport::rpc_client> client;
    /// True if the sidecar is in another region than the gateway.
    bool crosses_region = false;
};

using link_map = std::map<core::endpoint, sidecar_link>;

/// The connections of a gateway to the sidecars of its route table.
///
/// One thread at a time may call `update`. Each request thread reads through a
/// `core::snapshot_reader` of its own.
class sidecar_links
{
public:
    /// @param io Must outlive the links.
    sidecar_links(transport::io_pool& io, std::uint64_t random_seed);

    /// Opens links to the sidecars that are new in the table. A link that the
    /// table no longer needs is closed when its last request has ended.
    ///
    /// @param own_region Canonical name of the gateway's region.
    void update(routing::route_table const& table,
                core::region_id const& own_region);

    core::snapshot_publisher<link_map> const& published() const noexcept;

    /// @return Bytes exchanged with sidecars in other regions so far.
    transport::traffic region_traffic() const;

private:
    transport::io_pool& m_io;
    std::uint64_t m_seed;
    core::snapshot_publisher<link_map> m_published;
    mutable std::mutex m_mutex;
    /// Traffic to other regions on links that are no longer published.
    transport::traffic m_closed_traffic;
};

} // namespace turmericswitch::gateway

#endif
