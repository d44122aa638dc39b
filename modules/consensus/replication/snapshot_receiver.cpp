#include "consensus/replication/snapshot_receiver.hpp"

#include <utility>

namespace turmericswitch::consensus
{

std::optional<std::string>
snapshot_receiver::receive(core::member_id from,
                           core::snapshot_chunk const& chunk)
{
    // Snapshots of the same index from two members may differ in their bytes.
    if (from != m_from || chunk.metadata != m_metadata)
    {
        clear();
        m_from = from;
        m_metadata = chunk.metadata;
    }
    if (chunk.offset != m_data.size())
    {
        return std::nullopt;
    }
    m_data += chunk.data;
    if (!chunk.last)
    {
        return std::nullopt;
    }
    auto data = std::move(m_data);
    clear();
    return data;
}

std::uint64_t snapshot_receiver::next_offset() const
{
    return m_data.size();
}

void snapshot_receiver::clear()
{
    m_from = {};
    m_metadata = {};
    m_data.clear();
}

} // namespace turmericswitch::consensus
