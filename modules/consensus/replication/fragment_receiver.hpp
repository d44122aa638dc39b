#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_FRAGMENT_RECEIVER_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_FRAGMENT_RECEIVER_HPP

#include "core/messages/consensus.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace turmericswitch::consensus
{

/// Assembles the large entries of one leader from fragments in any order.
/// `clear` must be called when the term changes.
class fragment_receiver
{
public:
    /// @param max_bytes Bound of the bytes that are held.
    explicit fragment_receiver(std::size_t max_bytes);

    /// @return True if the fragment is held now; false if it is malformed or
    /// above the bound.
    bool hold(core::append_fragment const& fragment);

    /// Removes an entry once all its fragments are held.
    /// @return The entry, or nothing.
    std::optional<core::log_entry> take(core::log_index index);

    /// Removes the fragments of the entries up to `index`.
    void discard_through(core::log_index index);

    void clear();

private:
    struct partial_entry
    {
        core::log_entry entry;
        std::uint64_t size = 0;
        std::uint64_t held = 0;
        /// Data by offset.
        std::map<std::uint64_t, std::string> parts;
    };

    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::map<core::log_index, partial_entry> m_entries;
};

} // namespace turmericswitch::consensus

#endif
