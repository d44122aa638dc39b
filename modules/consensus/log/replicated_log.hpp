#ifndef TURMERICSWITCH_CONSENSUS_LOG_REPLICATED_LOG_HPP
#define TURMERICSWITCH_CONSENSUS_LOG_REPLICATED_LOG_HPP

#include "core/messages/consensus.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace turmericswitch::consensus
{

/// The part of the log behind its base in memory, with the membership at
/// every index. Use it inside a node; it has no notion of commit.
class replicated_log
{
public:
    /// @param base What precedes the log.
    /// @param entries Those at or before the base are skipped.
    replicated_log(core::snapshot_metadata base,
                   std::vector<core::log_entry> entries);

    core::log_index base_index() const;
    core::log_index last_index() const;
    core::term last_term() const;

    /// @return The term at an index from the base to the last, else nothing.
    std::optional<core::term> term_at(core::log_index index) const;

    /// @param index Above the base and at most the last index.
    core::log_entry const& at(core::log_index index) const;

    /// @param index From the base to the last.
    /// @return The last index before which no entry has its term.
    core::log_index first_of_term(core::log_index index) const;

    /// @return Entries from `first` on, at least one if there is one, and no
    /// more once `max_bytes` of data are reached.
    std::vector<core::log_entry> slice(core::log_index first,
                                       std::size_t max_bytes) const;

    /// @param entry Must follow the last one.
    void append(core::log_entry entry);

    /// Removes the entries from `from` on, above the base.
    void truncate(core::log_index from);

    /// Moves the base forward to `index`.
    void compact(core::log_index index);

    /// Drops everything for a new base.
    void reset(core::snapshot_metadata base);

    /// @return The newest membership; it is in force when appended.
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

    void note_membership(core::log_entry const& entry);

    core::log_index m_base_index;
    core::term m_base_term;
    std::deque<core::log_entry> m_entries;
    /// Ascending; the first holds at the base.
    std::vector<membership_record> m_memberships;
};

} // namespace turmericswitch::consensus

#endif
