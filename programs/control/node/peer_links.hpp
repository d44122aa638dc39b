#ifndef TURMERICSWITCH_CONTROL_NODE_PEER_LINKS_HPP
#define TURMERICSWITCH_CONTROL_NODE_PEER_LINKS_HPP

#include "core/messages/consensus.hpp"
#include "transport/transport.hpp"

#include <map>
#include <memory>

namespace turmericswitch::control
{

/// Sends consensus messages to the other members, over one connection to each.
///
/// A message that can't be sent is dropped; consensus sends again whatever is
/// still needed. Use it only on the event loop's thread.
class peer_links
{
public:
    /// @param io Must outlive the links.
    peer_links(transport::io_pool& io, std::uint64_t random_seed);

    /// Opens links to new members, and closes links to members that were
    /// removed or have a new address.
    void set_members(core::member_id self,
                     core::group_membership const& membership);

    void send(core::consensus_message const& message);

    /// @return Bytes sent and received on the links to the current members.
    transport::traffic transferred() const;

private:
    transport::io_pool& m_io;
    std::uint64_t m_seed;
    std::map<core::member_id, std::unique_ptr<transport::rpc_client>> m_links;
};

} // namespace turmericswitch::control

#endif
