#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_DELIVERY_TRACKER_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_DELIVERY_TRACKER_HPP

#include "consensus/node/raft_events.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace turmericswitch::consensus
{

/// The messages with payload that the transport holds. It outlives leaderships,
/// because the transport goes on sending what an ended one has handed to it.
class delivery_tracker
{
public:
    /// Records that a message was handed to the transport.
    /// @return Its id, which no other message of this process has.
    delivery_id
    begin(core::member_id to, std::size_t bytes, core::time_point now);

    /// Records that the transport no longer holds a message.
    /// @return Its receiver; nothing if the id is unknown.
    std::optional<core::member_id> end(delivery_id id);

    /// @return Bytes that the transport holds for all members.
    std::size_t bytes() const;

    /// @return Bytes that the transport holds for one member.
    std::size_t bytes_to(core::member_id to) const;

    /// @return When the oldest message to a member was handed over that the
    /// transport still holds.
    std::optional<core::time_point> oldest_to(core::member_id to) const;

private:
    struct delivery
    {
        core::member_id to;
        std::size_t bytes = 0;
        core::time_point since;
    };

    /// Ascending ids, so the oldest message is the first.
    std::map<delivery_id, delivery> m_deliveries;
    std::map<core::member_id, std::size_t> m_bytes_to;
    std::size_t m_bytes = 0;
    std::uint64_t m_last_id = 0;
};

} // namespace turmericswitch::consensus

#endif
