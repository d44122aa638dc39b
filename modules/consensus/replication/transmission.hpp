#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_TRANSMISSION_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_TRANSMISSION_HPP

#include "consensus/node/raft_events.hpp"
#include "core/types/units.hpp"

#include <optional>

namespace turmericswitch::consensus
{

/// The attempts to send one message: where the latest one is, and when the next
/// one is due.
class transmission
{
public:
    transmission() = default;
    explicit transmission(delivery_id id);

    /// Records that the message was handed to the transport again.
    void repeat(delivery_id id);

    /// Records that the transport no longer holds the message.
    /// @return False if the id is not that of the latest attempt.
    bool end(delivery_id id, bool answered, core::time_point now);

    /// Treats a delivered message as lost, because the peer lacks it.
    /// @return False if it is not delivered, or was sent again before.
    bool expedite();

    /// Treats a delivered message as lost, because the peer lacks it although
    /// it has acknowledged one that it received at `later`.
    /// @return False if it was not delivered before `later`.
    bool expedite_before(core::time_point later);

    /// @return When the peer had received the message, if it was sent again.
    std::optional<core::time_point> repeat_delivered() const;

    bool is_in_transport() const;
    bool has_failed() const;
    /// @return True if the peer has received the message.
    bool is_delivered() const;

    /// @param answer_since The peer has had this long to acknowledge the
    /// message, if it was delivered before.
    /// @param heartbeat Heartbeat interval, the unit of the back-off.
    /// @return True if the message must be sent again.
    bool is_due(core::time_point now,
                core::time_point answer_since,
                core::duration heartbeat) const;

private:
    enum class stage : std::uint8_t
    {
        in_transport,
        failed,
        delivered,
    };

    delivery_id m_id;
    stage m_stage = stage::in_transport;
    core::time_point m_ended;
    unsigned m_repeats = 0;
};

} // namespace turmericswitch::consensus

#endif
