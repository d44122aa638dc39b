#ifndef TURMERICSWITCH_CONSENSUS_NODE_REPLICATION_STATUS_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_REPLICATION_STATUS_HPP

#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <optional>

namespace turmericswitch::consensus
{

/// What a leader knows about one other member.
struct replication_status
{
    core::member_id member;
    bool is_voter = false;
    /// It has answered this leader.
    bool has_answered = false;
    /// A learner that has caught up may be promoted.
    bool has_caught_up = false;
    /// Until the first answer, when this leader began to send to the member.
    core::time_point last_answer;
    /// Last index known to be durable there.
    core::log_index match;
    /// Bytes that the transport holds or that are unacknowledged.
    std::size_t in_flight_bytes = 0;
    /// When the oldest message was sent that the transport still holds.
    std::optional<core::time_point> oldest_call;
};

} // namespace turmericswitch::consensus

#endif
