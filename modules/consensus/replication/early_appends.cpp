#include "consensus/replication/early_appends.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::consensus
{

namespace
{

std::size_t payload_bytes(core::append_request const& append)
{
    std::size_t bytes = 0;
    for (auto const& entry : append.entries)
    {
        bytes += entry.data.size() + 1;
    }
    return bytes;
}

} // namespace

early_appends::early_appends(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

void early_appends::hold(core::append_request const& append)
{
    auto const bytes = payload_bytes(append);
    if (append.entries.empty() || m_bytes + bytes > m_max_bytes)
    {
        return;
    }
    if (m_appends.emplace(append.previous_index, append).second)
    {
        m_bytes += bytes;
    }
}

std::optional<core::append_request> early_appends::take(
    std::function<bool(core::append_request const&)> const& matches)
{
    auto const found = std::find_if(m_appends.begin(),
                                    m_appends.end(),
                                    [&matches](auto const& item)
                                    { return matches(item.second); });
    if (found == m_appends.end())
    {
        return std::nullopt;
    }
    auto append = std::move(found->second);
    m_bytes -= payload_bytes(append);
    m_appends.erase(found);
    return append;
}

void early_appends::clear()
{
    m_appends.clear();
    m_bytes = 0;
}

} // namespace turmericswitch::consensus
