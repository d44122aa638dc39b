#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_SNAPSHOT_RECEIVER_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_SNAPSHOT_RECEIVER_HPP

#include "core/messages/consensus.hpp"

#include <optional>
#include <string>

namespace turmericswitch::consensus
{

/// Assembles a snapshot from the chunks of one sender. Repeated and reordered
/// chunks are ignored; `next_offset` tells the sender where to continue after a
/// lost one.
class snapshot_receiver
{
public:
    /// @return The complete data with the last chunk, else nothing.
    std::optional<std::string> receive(core::member_id from,
                                       core::snapshot_chunk const& chunk);

    /// @return Bytes received so far.
    std::uint64_t next_offset() const;

    void clear();

private:
    core::member_id m_from;
    core::snapshot_metadata m_metadata;
    std::string m_data;
};

} // namespace turmericswitch::consensus

#endif
