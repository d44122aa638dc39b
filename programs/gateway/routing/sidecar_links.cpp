#include "gateway/routing/sidecar_links.hpp"

#include "shared/peers/peer_client.hpp"

namespace turmericswitch::gateway
{

sidecar_links::sidecar_links(transport::io_pool& io, std::uint64_t random_seed)
    : m_io(io), m_seed(random_seed)
{
}

void sidecar_links::update(routing::route_table const& table,
                           core::region_id const& own_region)
{
    auto const previous = m_published.current();
    auto next = std::make_shared<link_map>();
    for (auto const& [service, routes] : table.services)
    {
        for (auto const& target : routes.backends)
        {
            auto const& peer = target.entry.sidecar;
            if (previous && previous->contains(peer))
            {
                next->emplace(peer, previous->at(peer));
                continue;
            }
            next->emplace(
                peer,
                sidecar_link{shared::make_peer_client(m_io, peer, ++m_seed),
                             target.place.region != own_region});
        }
    }
    std::lock_guard const lock(m_mutex);
    for (auto const& [peer, link] : previous ? *previous : link_map())
    {
        if (link.crosses_region && !next->contains(peer))
        {
            auto const [sent, received] = link.client->transferred();
            m_closed_traffic.sent += sent;
            m_closed_traffic.received += received;
        }
    }
    m_published.publish(std::move(next));
}

core::snapshot_publisher<link_map> const&
sidecar_links::published() const noexcept
{
    return m_published;
}

transport::traffic sidecar_links::region_traffic() const
{
    std::lock_guard const lock(m_mutex);
    auto total = m_closed_traffic;
    auto const links = m_published.current();
    for (auto const& [peer, link] : links ? *links : link_map())
    {
        if (link.crosses_region)
        {
            auto const [sent, received] = link.client->transferred();
            total.sent += sent;
            total.received += received;
        }
    }
    return total;
}

} // namespace turmericswitch::gateway
