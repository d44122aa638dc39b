#ifndef TURMERICSWITCH_CONSENSUS_LOG_REPLICATED_LOG_HPP
#define TURMERICSWITCH_CONSENSUS_LOG_REPLICATED_LOG_HPP

#include "core/messages/consensus.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace turmericswitch::consensus
{

/// The in-memory part of the Raft log: the entries after a base index, up to
/// which the log was compacted into a snapshot, and the membership in force at
/// every index. It does not know which entries are committed.
class replicated_log
{
public:
    /// @param base Snapshot that precedes the entries.
    /// @param entries Entries in order; those up to the base are skipped.
    replicated_log(core::snapshot_metadata base,
                   std::vector<core::log_entry> entries);

    core::log_index base_index() const;
    core::log_index last_index() const;
    core::term last_term() const;

    /// @return The term of the entry at `index`; nothing if the index is below
    /// the base or above the last.
    std::optional<core::term> term_at(core::log_index index) const;

    /// @param index Above the base index and at most the last index.
    core::log_entry const& at(core::log_index index) const;

    /// @param index From the base index to the last index.
    /// @return The first index, not below the base, whose entry has the same
    /// term as the entry at `index`.
    core::log_index first_index_of_term(core::log_index index) const;

    /// @param first Above the base index and at most the last index.
    /// @return The last index up to which the data of the entries from `first`
    /// on fits in `max_bytes`; at least `first`.
    core::log_index last_within(core::log_index first,
                                std::size_t max_bytes) const;

    /// @return The entries from `first` to `last`, which the log must have.
    std::vector<core::log_entry> slice(core::log_index first,
                                       core::log_index last) const;

    /// @return Bytes that the entries from `first` to `last` count in a
    /// message: their data and one byte each.
    std::size_t payload_bytes(core::log_index first,
                              core::log_index last) const;

    /// @param entry Its index must be the last index plus one.
    void append(core::log_entry entry);

    /// Removes all entries from index `from` on, which must be above the base.
    void truncate(core::log_index from);

    /// Drops the entries up to `index` and makes it the base index.
    void compact(core::log_index index);

    /// Drops all entries and starts after the snapshot `base`.
    void reset(core::snapshot_metadata base);

    /// @return The newest membership. It is in force from its append on, before
    /// it is committed.
    core::group_membership const& membership() const;

    /// @return Index at which the newest membership was appended.
    core::log_index membership_index() const;

    /// @return The membership in force at an index not below the base.
    core::group_membership const& membership_at(core::log_index index) const;

private:
    struct membership_record
    {
        core::log_index since;
        core::group_membership members;
    };

    void record_membership(core::log_entry const& entry);

    core::log_index m_base_index;
    core::term m_base_term;
    std::deque<core::log_entry> m_entries;
    /// By ascending index; the first is the membership at the base.
    std::vector<membership_record> m_memberships;
};

} // namespace turmericswitch::consensus

#endif
