#include "consensus/replication/fragment_receiver.hpp"

#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;

fragment_receiver::fragment_receiver(std::size_t max_bytes)
    : m_max_bytes(max_bytes)
{
}

bool fragment_receiver::hold(core::append_fragment const& fragment)
{
    auto const bytes = fragment.data.size();
    bool const is_valid = bytes > 0 && fragment.size <= m_max_bytes &&
                          fragment.offset < fragment.size &&
                          bytes <= fragment.size - fragment.offset;
    if (!is_valid)
    {
        return false;
    }
    auto& partial = m_entries[fragment.index];
    partial.entry.entry_term = fragment.entry_term;
    partial.entry.index = fragment.index;
    partial.entry.kind = fragment.kind;
    partial.size = fragment.size;
    if (partial.parts.contains(fragment.offset))
    {
        return true;
    }
    if (m_bytes + bytes > m_max_bytes)
    {
        return false;
    }
    partial.parts.emplace(fragment.offset, fragment.data);
    partial.held += bytes;
    m_bytes += bytes;
    return true;
}

std::optional<core::log_entry> fragment_receiver::take(log_index index)
{
    auto const found = m_entries.find(index);
    if (found == m_entries.end() || found->second.held < found->second.size)
    {
        return std::nullopt;
    }
    auto partial = std::move(found->second);
    m_bytes -= partial.held;
    m_entries.erase(found);
    for (auto const& [offset, data] : partial.parts)
    {
        if (offset != partial.entry.data.size())
        {
            return std::nullopt;
        }
        partial.entry.data += data;
    }
    return std::move(partial.entry);
}

void fragment_receiver::discard_through(log_index index)
{
    auto const end = m_entries.upper_bound(index);
    for (auto at = m_entries.begin(); at != end;)
    {
        m_bytes -= at->second.held;
        at = m_entries.erase(at);
    }
}

void fragment_receiver::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

} // namespace turmericswitch::consensus
