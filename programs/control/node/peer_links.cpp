#include "node/peer_links.hpp"

#include "process/loop/event_loop.hpp"
#include "shared/peers/peer_client.hpp"
#include "wire/codec/message_codec.hpp"

#include <utility>

namespace turmericswitch::control
{

namespace
{

/// Time for a call without payload. Consensus decides long before this whether
/// a peer is alive.
constexpr core::duration base_timeout = std::chrono::seconds(2);

/// Rate that a message can count on when the link between regions is
/// overloaded, in bytes per second.
constexpr std::int64_t slowest_link_rate = 250'000;

/// Messages that share a link at a time; see
/// `raft_options::max_in_flight_bytes`.
constexpr std::int64_t messages_at_a_time = 2;

/// @return Time for a call, long enough that a message whose bytes are still on
/// their way is not given up.
core::duration timeout_for(std::size_t body_bytes)
{
    auto const bytes =
        static_cast<std::int64_t>(body_bytes) * messages_at_a_time;
    return base_timeout +
           std::chrono::duration_cast<core::duration>(
               std::chrono::milliseconds(bytes * 1000 / slowest_link_rate));
}

/// The peer answers every message at once and gets heartbeats every 100 ms, so
/// a connection without input for this long is probed, and replaced after
/// about 1 s. Members that can't reach each other elect no leader, and with the
/// default options (8 s) all workers' leases would run out first.
constexpr core::duration keepalive_interval = std::chrono::milliseconds(250);

/// A link must work again soon after a partition ends, so one attempt and the
/// delay after it take together about as long as an election.
constexpr core::duration connect_timeout = std::chrono::milliseconds(500);
constexpr core::duration reconnect_delay_cap = std::chrono::milliseconds(250);

/// Time without a request after which the address that its sender named is
/// forgotten; many heartbeat intervals.
constexpr core::duration sender_timeout = std::chrono::seconds(10);

/// Time between two events on dropped messages to the same member.
constexpr core::duration drop_report_interval = std::chrono::seconds(1);

transport::client_options link_options()
{
    transport::client_options options;
    options.connection.keepalive_interval = keepalive_interval;
    options.connect_timeout = connect_timeout;
    options.backoff_cap = reconnect_delay_cap;
    return options;
}

/// @return True for messages to which the receiver answers.
bool needs_answer(core::consensus_message const& message)
{
    auto const& body = message.body;
    return std::holds_alternative<core::vote_request>(body) ||
           std::holds_alternative<core::append_request>(body) ||
           std::holds_alternative<core::append_fragment>(body) ||
           std::holds_alternative<core::snapshot_chunk>(body);
}

} // namespace

peer_links::peer_links(transport::io_pool& io,
                       std::optional<core::endpoint> self,
                       std::uint64_t random_seed,
                       delivery_hook on_ended,
                       core::event_hook on_event)
    : m_io(io),
      m_self(std::move(self)),
      m_seed(random_seed),
      m_on_ended(std::move(on_ended)),
      m_on_event(std::move(on_event))
{
}

void peer_links::set_members(core::member_id self,
                             core::group_membership const& membership)
{
    m_listed.clear();
    for (auto const& member : membership.members)
    {
        if (member.id != self)
        {
            m_listed.emplace(member.id, member.rpc);
        }
    }
    std::erase_if(m_dropped,
                  [this](auto const& item)
                  { return m_listed.contains(item.first); });
    forget_senders();
    std::erase_if(m_links,
                  [this](auto const& item)
                  {
                      auto const address = address_of(item.first);
                      return !address || *address != item.second->peer();
                  });
    for (auto const& listed : m_listed)
    {
        link_to(listed.first);
    }
}

std::optional<core::endpoint> peer_links::address_of(core::member_id id) const
{
    if (auto const named = m_senders.find(id); named != m_senders.end())
    {
        return named->second.address;
    }
    auto const listed = m_listed.find(id);
    return listed == m_listed.end() ? std::nullopt
                                    : std::optional(listed->second);
}

void peer_links::learn_sender(core::consensus_message const& message)
{
    if (!message.sender)
    {
        return;
    }
    auto const listed = m_listed.find(message.from);
    if (listed != m_listed.end() && listed->second == *message.sender)
    {
        m_senders.erase(message.from);
    }
    else
    {
        m_senders[message.from] = {*message.sender, process::event_loop::now()};
    }
    forget_senders();
    auto const link = m_links.find(message.from);
    if (link != m_links.end() && link->second->peer() != *message.sender)
    {
        m_links.erase(link);
    }
}

void peer_links::forget_senders()
{
    auto const now = process::event_loop::now();
    std::erase_if(m_senders,
                  [this, now](auto const& item)
                  {
                      bool const is_gone =
                          now - item.second.last_heard > sender_timeout;
                      if (is_gone)
                      {
                          m_links.erase(item.first);
                      }
                      return is_gone;
                  });
}

transport::rpc_client* peer_links::link_to(core::member_id to)
{
    if (auto const open = m_links.find(to); open != m_links.end())
    {
        return open->second.get();
    }
    auto const address = address_of(to);
    if (!address)
    {
        return nullptr;
    }
    auto link = shared::make_peer_client(
        m_io, *address, m_seed + to.value(), link_options());
    return m_links.emplace(to, std::move(link)).first->second.get();
}

void peer_links::send(consensus::send const& message)
{
    auto const& [given, delivery] = message;
    auto* const link = link_to(given.to);
    if (link == nullptr)
    {
        report_dropped(given.to);
        if (delivery != consensus::delivery_id())
        {
            m_on_ended(delivery, false);
        }
        return;
    }
    auto content = given;
    if (needs_answer(content))
    {
        content.sender = m_self;
    }
    auto body = wire::encode(content);
    auto const timeout = timeout_for(body.size());
    link->call("/raft",
               std::move(body),
               timeout,
               [on_ended = m_on_ended,
                id = delivery](transport::call_result const& result)
               {
                   if (id != consensus::delivery_id())
                   {
                       on_ended(id,
                                result.outcome ==
                                    transport::call_outcome::answered);
                   }
               });
}

void peer_links::report_dropped(core::member_id to)
{
    auto const now = process::event_loop::now();
    auto& dropped = m_dropped[to];
    ++dropped.count;
    if (now < dropped.next_report)
    {
        return;
    }
    m_on_event({core::event_code::peer_address_unknown,
                {core::number_field("member", to.value()),
                 core::number_field("messages", dropped.count)}});
    dropped.count = 0;
    dropped.next_report = now + drop_report_interval;
}

void peer_links::close()
{
    m_links.clear();
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
