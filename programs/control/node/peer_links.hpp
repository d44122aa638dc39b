#ifndef TURMERICSWITCH_CONTROL_NODE_PEER_LINKS_HPP
#define TURMERICSWITCH_CONTROL_NODE_PEER_LINKS_HPP

#include "consensus/node/raft_events.hpp"
#include "core/events/event.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace turmericswitch::control
{

/// Sends consensus messages to the other members, over one connection to each.
///
/// A message that can't be sent is dropped; consensus sends again whatever is
/// still needed. Use it only on the event loop's thread.
class peer_links
{
public:
    /// Called on any thread when the call of a tracked message has ended, with
    /// true if the peer answered it.
    using delivery_hook = std::function<void(consensus::delivery_id, bool)>;

    /// @param io Must outlive the links.
    /// @param self Where peers reach this instance, if that is known.
    /// @param on_ended Called once for each tracked message.
    /// @param on_event Gets the events of the links.
    peer_links(transport::io_pool& io,
               std::optional<core::endpoint> self,
               std::uint64_t random_seed,
               delivery_hook on_ended,
               core::event_hook on_event);

    /// Opens links to new members, and closes links to members that were
    /// removed or have a new address.
    void set_members(core::member_id self,
                     core::group_membership const& membership);

    /// Remembers the address that a request names for its sender, so that the
    /// answer arrives although the own log does not list the sender yet or
    /// lists it at an earlier address.
    void learn_sender(core::consensus_message const& message);

    void send(consensus::send const& message);

    /// Closes all links. When it returns, no call of the hook is pending.
    void close();

    /// @return Bytes sent and received on the open links.
    transport::traffic transferred() const;

private:
    /// Messages dropped because the address of their receiver is not known.
    struct dropped_messages
    {
        std::uint64_t count = 0;
        core::time_point next_report;
    };

    /// An instance whose address differs from the newest known membership.
    struct named_sender
    {
        core::endpoint address;
        core::time_point last_heard;
    };

    void report_dropped(core::member_id to);
    std::optional<core::endpoint> address_of(core::member_id id) const;
    transport::rpc_client* link_to(core::member_id to);
    void forget_senders();

    transport::io_pool& m_io;
    std::optional<core::endpoint> m_self;
    std::uint64_t m_seed;
    delivery_hook m_on_ended;
    core::event_hook m_on_event;
    std::map<core::member_id, dropped_messages> m_dropped;
    std::map<core::member_id, core::endpoint> m_listed;
    std::map<core::member_id, named_sender> m_senders;
    std::map<core::member_id, std::unique_ptr<transport::rpc_client>> m_links;
};

} // namespace turmericswitch::control

#endif
