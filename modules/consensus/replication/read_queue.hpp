#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_READ_QUEUE_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_READ_QUEUE_HPP

#include "consensus/node/raft_events.hpp"

#include <cstdint>
#include <vector>

namespace turmericswitch::consensus
{

/// Linearizable reads that wait until a heartbeat round confirms leadership.
/// Reads that arrive during a round wait for the next one, so one round serves
/// many reads.
class read_queue
{
public:
    void add(ticket id);

    /// @return True if reads wait and no round is in progress.
    bool needs_round() const;

    /// Assigns all waiting reads to a round that begins now.
    /// @param commit Commit index at which these reads may be answered.
    void begin_round(std::uint64_t round, core::log_index commit);

    /// @return The round in progress, or 0.
    std::uint64_t round() const;

    /// Ends the round in progress.
    /// @return Its reads with the index at which they may be answered.
    std::vector<read_ready> finish_round();

    /// Removes all reads.
    /// @return The removed reads.
    std::vector<ticket> clear();

private:
    std::vector<ticket> m_waiting;
    std::vector<ticket> m_in_round;
    std::uint64_t m_round = 0;
    core::log_index m_index;
};

} // namespace turmericswitch::consensus

#endif
