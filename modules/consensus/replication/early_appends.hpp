#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_EARLY_APPENDS_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_EARLY_APPENDS_HPP

#include "core/messages/consensus.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace turmericswitch::consensus
{

/// Appends of the current leader that arrived before those that precede them.
/// Concurrent calls end in any order, and only the transport decides which.
/// `clear` must be called when the term changes.
class early_appends
{
public:
    /// @param max_bytes Bound of the bytes of entries that are held.
    explicit early_appends(std::size_t max_bytes);

    /// Keeps an append with entries, unless that exceeds the bound.
    void hold(core::append_request const& append);

    /// Removes the first append for which a condition holds.
    /// @return The append, or nothing.
    std::optional<core::append_request>
    take(std::function<bool(core::append_request const&)> const& matches);

    void clear();

private:
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    /// By previous index.
    std::map<core::log_index, core::append_request> m_appends;
};

} // namespace turmericswitch::consensus

#endif
