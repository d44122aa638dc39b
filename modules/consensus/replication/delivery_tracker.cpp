#include "consensus/replication/delivery_tracker.hpp"

#include <algorithm>

namespace turmericswitch::consensus
{

delivery_id delivery_tracker::begin(core::member_id to,
                                    std::size_t bytes,
                                    core::time_point now)
{
    auto const id = delivery_id(++m_last_id);
    m_deliveries.emplace(id, delivery{to, bytes, now});
    m_bytes_to[to] += bytes;
    m_bytes += bytes;
    return id;
}

std::optional<core::member_id> delivery_tracker::end(delivery_id id)
{
    auto const ended = m_deliveries.extract(id);
    if (ended.empty())
    {
        return std::nullopt;
    }
    auto const& [to, bytes, since] = ended.mapped();
    m_bytes_to[to] -= bytes;
    m_bytes -= bytes;
    return to;
}

std::size_t delivery_tracker::bytes() const
{
    return m_bytes;
}

std::size_t delivery_tracker::bytes_to(core::member_id to) const
{
    auto const found = m_bytes_to.find(to);
    return found == m_bytes_to.end() ? 0 : found->second;
}

std::optional<core::time_point>
delivery_tracker::oldest_to(core::member_id to) const
{
    auto const found =
        std::find_if(m_deliveries.begin(),
                     m_deliveries.end(),
                     [to](auto const& item) { return item.second.to == to; });
    return found == m_deliveries.end() ? std::nullopt
                                       : std::optional(found->second.since);
}

} // namespace turmericswitch::consensus
