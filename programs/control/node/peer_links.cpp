#include "node/peer_links.hpp"

#include "shared/peers/peer_client.hpp"
#include "wire/codec/message_codec.hpp"

namespace turmericswitch::control
{

namespace
{

/// Consensus sends a message again long before this.
constexpr core::duration send_timeout = std::chrono::seconds(2);

/// The peer answers every message at once and gets heartbeats every 100 ms, so
/// a connection without input for this long is probed, and replaced after
/// about 1 s. Members that can't reach each other elect no leader, and with the
/// default options (8 s) all workers' leases would run out first.
constexpr core::duration keepalive_interval = std::chrono::milliseconds(250);

/// A link must work again soon after a partition ends, so one attempt and the
/// delay after it take together about as long as an election.
constexpr core::duration connect_timeout = std::chrono::milliseconds(500);
constexpr core::duration reconnect_delay_cap = std::chrono::milliseconds(250);

transport::client_options link_options()
{
    transport::client_options options;
    options.connection.keepalive_interval = keepalive_interval;
    options.connect_timeout = connect_timeout;
    options.backoff_cap = reconnect_delay_cap;
    return options;
}

} // namespace

peer_links::peer_links(transport::io_pool& io, std::uint64_t random_seed)
    : m_io(io), m_seed(random_seed)
{
}

void peer_links::set_members(core::member_id self,
                             core::group_membership const& membership)
{
    std::map<core::member_id, core::endpoint> wanted;
    for (auto const& member : membership.members)
    {
        if (member.id != self)
        {
            wanted.emplace(member.id, member.rpc);
        }
    }
    std::erase_if(m_links,
                  [&wanted](auto const& item)
                  {
                      auto const found = wanted.find(item.first);
                      return found == wanted.end() ||
                             found->second != item.second->peer();
                  });
    for (auto const& [id, peer] : wanted)
    {
        if (m_links.contains(id))
        {
            continue;
        }
        m_links.emplace(id,
                        shared::make_peer_client(
                            m_io, peer, m_seed + id.value(), link_options()));
    }
}

void peer_links::send(core::consensus_message const& message)
{
    if (auto const link = m_links.find(message.to); link != m_links.end())
    {
        link->second->call("/raft",
                           wire::encode(message),
                           send_timeout,
                           [](transport::call_result const&) {});
    }
}

transport::traffic peer_links::transferred() const
{
    transport::traffic total;
    for (auto const& [id, link] : m_links)
    {
        auto const [sent, received] = link->transferred();
        total.sent += sent;
        total.received += received;
    }
    return total;
}

} // namespace turmericswitch::control
