#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_FOLLOWER_PROGRESS_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_FOLLOWER_PROGRESS_HPP

#include "consensus/replication/transmission.hpp"
#include "core/messages/consensus.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace turmericswitch::consensus
{

/// A snapshot with its data, to be sent to followers.
struct raft_snapshot
{
    core::snapshot_metadata metadata;
    std::shared_ptr<std::string const> data;
};

/// What one append message carries: whole entries, or a fragment of one.
struct log_range
{
    core::log_index first;
    core::log_index last;
    std::size_t bytes = 0;
    /// Where a fragment begins in its entry; nothing for whole entries.
    std::optional<std::uint64_t> offset;
    /// Set for the fragment that completes its entry.
    bool completes_entry = true;
};

/// A leader's replication state for one other member: how far its log matches,
/// which appends are unacknowledged, and when it last answered.
///
/// While probing, the match is unknown and one append is sent at a time;
/// otherwise appends are pipelined. A range is sent again only after its call
/// failed, or after its call was answered and no acknowledgement followed.
class follower_progress
{
public:
    /// @param next Index at which to start probing.
    follower_progress(core::log_index next, core::time_point now);

    core::log_index match() const;
    /// @return The first index that was not sent completely.
    core::log_index next() const;
    /// @return Bytes of the entry at `next` that were sent in fragments.
    std::uint64_t next_offset() const;

    /// Records an answer of any kind in the current term.
    /// @param round Heartbeat round that the answer echoes, or 0.
    void record_answer(core::time_point now, std::uint64_t round);
    /// @return Time of the last answer; before the first one, when this object
    ///         was made.
    core::time_point last_answer() const;
    bool has_answered() const;
    std::uint64_t acknowledged_round() const;

    /// @return True if content that was not sent before may be sent.
    bool may_send() const;
    bool probing() const;
    /// @return True if a call failed whose content must be sent again.
    bool has_failed() const;

    /// @return Bytes that the follower has received and not acknowledged.
    std::size_t delivered_bytes() const;

    /// Records that a probe without entries was sent.
    void record_probe();

    /// Records that the range at `next` and `next_offset` was sent.
    void record_sent(log_range const& range, delivery_id delivery);

    /// Records that the transport no longer holds a message.
    void
    record_delivery(delivery_id delivery, bool answered, core::time_point now);

    /// Records that the follower holds a fragment.
    void record_fragment(core::log_index index,
                         std::uint64_t offset,
                         core::time_point now);

    /// Records that the follower's log matches durably up to `index`.
    void record_match(core::log_index index, core::time_point now);

    /// Records that the follower refused an append. Only a probe can be refused
    /// because of the follower's log; another append arrived too early, or the
    /// one before it is lost.
    /// @param hint Last index at which its log may match.
    void record_rejection(core::log_index hint);

    /// @param heartbeat Heartbeat interval, the unit of the back-off.
    /// @return The first range that must be sent again, or null.
    log_range const* due_range(core::time_point now, core::duration heartbeat);

    /// Records that the last result of `due_range` was sent again.
    void record_repeated(log_range const& range, delivery_id delivery);

    /// @return The snapshot being sent, or null.
    raft_snapshot const* snapshot() const;
    std::uint64_t snapshot_offset() const;
    /// @return True while the transport holds the chunk at `snapshot_offset`.
    bool chunk_in_transport() const;
    void begin_snapshot(raft_snapshot snapshot);
    /// Continues the snapshot at another offset.
    void move_snapshot(std::uint64_t offset);
    /// Records that the chunk at `snapshot_offset` was sent.
    void record_chunk(delivery_id delivery);
    /// @return True if the chunk at `snapshot_offset` must be sent.
    bool chunk_due(core::time_point now, core::duration heartbeat) const;
    void end_snapshot();

private:
    struct in_flight_range
    {
        log_range range;
        transmission sending;
        /// The follower holds this fragment.
        bool acknowledged = false;

        bool is_counted() const;
    };

    void start_probing();
    void repeat_delivered_before(core::time_point later);
    void repeat_missing(core::log_index index);
    void repeat_lost_entry(core::time_point now, core::duration heartbeat);

    core::log_index m_match;
    core::log_index m_next;
    std::uint64_t m_next_offset = 0;
    bool m_probing = true;
    bool m_probe_sent = false;
    /// In log order.
    std::deque<in_flight_range> m_in_flight;
    std::size_t m_delivered_bytes = 0;
    std::size_t m_failed = 0;
    core::time_point m_last_progress;
    core::time_point m_last_answer;
    bool m_has_answered = false;
    std::uint64_t m_round = 0;
    std::unique_ptr<raft_snapshot> m_snapshot;
    std::uint64_t m_snapshot_offset = 0;
    std::optional<transmission> m_chunk;
};

} // namespace turmericswitch::consensus

#endif
