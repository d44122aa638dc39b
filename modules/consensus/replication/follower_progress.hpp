#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_FOLLOWER_PROGRESS_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_FOLLOWER_PROGRESS_HPP

#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace turmericswitch::consensus
{

/// A snapshot with its data, to be sent to followers.
struct raft_snapshot
{
    core::snapshot_metadata metadata;
    std::shared_ptr<std::string const> data;
};

/// A leader's replication state for one other member: how far its log matches,
/// which appends are unacknowledged, and when it last answered.
///
/// While probing, the match is unknown and one append is sent at a time;
/// otherwise appends are pipelined.
class follower_progress
{
public:
    /// @param next Index at which to start probing.
    follower_progress(core::log_index next, core::time_point now);

    core::log_index match() const;
    core::log_index next() const;

    /// Records an answer of any kind in the current term.
    /// @param round Heartbeat round that the answer echoes, or 0.
    void record_answer(core::time_point now, std::uint64_t round);
    core::time_point last_answer() const;
    std::uint64_t acknowledged_round() const;

    /// @return True if another append with entries may be sent.
    bool may_send(std::size_t max_in_flight_bytes) const;
    bool probing() const;

    /// Records a sent append with entries.
    /// @param last Index of its last entry.
    void record_append(core::log_index last,
                       std::size_t bytes,
                       core::time_point now);

    /// Records that the follower's log matches durably up to `index`.
    void record_match(core::log_index index, core::time_point now);

    /// Records that the follower refused an append.
    /// @param hint Last index at which its log may match.
    void record_rejection(core::log_index hint);

    /// Returns to probing, so that unacknowledged appends are sent again, if
    /// there was no progress for `limit`.
    void retry_if_stalled(core::time_point now, core::duration limit);

    /// @return The snapshot being sent, or null.
    raft_snapshot const* snapshot() const;
    std::uint64_t snapshot_offset() const;
    void begin_snapshot(raft_snapshot snapshot);
    void record_chunk(std::uint64_t offset, core::time_point now);
    bool chunk_overdue(core::time_point now, core::duration limit) const;
    void end_snapshot();

private:
    struct in_flight_append
    {
        core::log_index last;
        std::size_t bytes = 0;
    };

    void start_probing();

    core::log_index m_match;
    core::log_index m_next;
    bool m_probing = true;
    bool m_probe_sent = false;
    std::deque<in_flight_append> m_in_flight;
    std::size_t m_in_flight_bytes = 0;
    core::time_point m_last_progress;
    core::time_point m_last_answer;
    std::uint64_t m_round = 0;
    std::unique_ptr<raft_snapshot> m_snapshot;
    std::uint64_t m_snapshot_offset = 0;
    core::time_point m_chunk_sent;
};

} // namespace turmericswitch::consensus

#endif
