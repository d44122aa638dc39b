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

/// A snapshot that can be sent to followers.
struct offered_snapshot
{
    core::snapshot_metadata metadata;
    std::shared_ptr<std::string const> data;
};

/// What a leader knows of one other member: how far its log matches, what is
/// on the way, and when it last answered.
class follower_progress
{
public:
    /// @param next Where to start probing.
    follower_progress(core::log_index next, core::time_point now);

    core::log_index match() const;
    core::log_index next() const;

    /// Notes any answer of this term.
    void answered(core::time_point now, std::uint64_t round);
    core::time_point last_answer() const;
    std::uint64_t acknowledged_round() const;

    /// @return True when another append with entries may be sent.
    bool may_send(std::size_t max_in_flight_bytes) const;
    bool probing() const;

    /// Notes an append with entries.
    void sent(core::log_index last, std::size_t bytes, core::time_point now);

    /// The log matches up to `index`, durably at the follower.
    void matched(core::log_index index, core::time_point now);

    /// The follower refused; `hint` is where its log may still match.
    void refused(core::log_index hint);

    /// Allows a lost message to be sent again once nothing has come back for
    /// `limit`.
    void retry_after(core::time_point now, core::duration limit);

    /// @return The snapshot on the way, or null.
    offered_snapshot const* snapshot() const;
    std::uint64_t snapshot_offset() const;
    void begin_snapshot(offered_snapshot snapshot);
    void chunk_sent(std::uint64_t offset, core::time_point now);
    bool chunk_overdue(core::time_point now, core::duration limit) const;
    void end_snapshot();

private:
    struct flight
    {
        core::log_index last;
        std::size_t bytes = 0;
    };

    void start_probing();

    core::log_index m_match;
    core::log_index m_next;
    bool m_probing = true;
    bool m_probe_sent = false;
    std::deque<flight> m_flights;
    std::size_t m_in_flight_bytes = 0;
    core::time_point m_last_progress;
    core::time_point m_last_answer;
    std::uint64_t m_round = 0;
    std::unique_ptr<offered_snapshot> m_snapshot;
    std::uint64_t m_snapshot_offset = 0;
    core::time_point m_chunk_sent;
};

} // namespace turmericswitch::consensus

#endif
