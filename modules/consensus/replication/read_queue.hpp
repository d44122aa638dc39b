#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_READ_QUEUE_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_READ_QUEUE_HPP

#include "consensus/node/raft_events.hpp"

#include <cstdint>
#include <vector>

namespace turmericswitch::consensus
{

/// Reads that wait for a round of heartbeats. Reads that arrive while a round
/// is on its way wait for the next one, so one round serves many reads.
class read_queue
{
public:
    void add(ticket id);

    /// @return True when reads wait and no round is on its way.
    bool needs_round() const;

    /// Assigns all waiting reads to a round that begins now.
    void begin_round(std::uint64_t round, core::log_index commit);

    /// @return The round on its way, 0 when there is none.
    std::uint64_t round() const;

    /// Ends the round on its way.
    /// @return Its reads with the index they may be answered at.
    std::vector<read_ready> finish_round();

    /// @return All reads, which are dropped.
    std::vector<ticket> clear();

private:
    std::vector<ticket> m_waiting;
    std::vector<ticket> m_in_round;
    std::uint64_t m_round = 0;
    core::log_index m_index;
};

} // namespace turmericswitch::consensus

#endif
