#ifndef TURMERICSWITCH_CONSENSUS_REPLICATION_SNAPSHOT_RECEIVER_HPP
#define TURMERICSWITCH_CONSENSUS_REPLICATION_SNAPSHOT_RECEIVER_HPP

#include "core/messages/consensus.hpp"

#include <optional>
#include <string>

namespace turmericswitch::consensus
{

/// Joins the chunks of one snapshot of one sender. A repeated or reordered
/// chunk changes nothing; a lost one is asked for again by `next_offset`.
class snapshot_receiver
{
public:
    /// @return The whole data once the last chunk has arrived.
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
