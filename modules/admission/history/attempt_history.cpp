#include "admission/history/attempt_history.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::admission
{

attempt_history::attempt_history(std::size_t max_ends, std::size_t max_gateways)
    : m_max_ends(max_ends), m_max_gateways(max_gateways)
{
    assert(max_ends > 0 && max_gateways > 0);
}

attempt_status attempt_history::find(core::attempt_id const& id) const
{
    if (m_ends.contains(id))
    {
        return attempt_status::ended;
    }
    auto const floor = m_floors.find(id.request.gateway);
    if (floor == m_floors.end())
    {
        return m_floors.size() < m_max_gateways
                   ? attempt_status::fresh
                   : attempt_status::gateway_refused;
    }
    return id.request.sequence <= floor->second ? attempt_status::forgotten
                                                : attempt_status::fresh;
}

std::optional<attempt_end>
attempt_history::end_of(core::attempt_id const& id) const
{
    auto const found = m_ends.find(id);
    if (found == m_ends.end())
    {
        return std::nullopt;
    }
    return found->second;
}

void attempt_history::track(core::attempt_id const& id)
{
    m_floors.try_emplace(id.request.gateway);
}

void attempt_history::remember(core::attempt_id const& id,
                               attempt_end const& end)
{
    track(id);
    if (!m_ends.try_emplace(id, end).second)
    {
        return;
    }
    m_order.push_back(id);
    if (m_order.size() > m_max_ends)
    {
        evict_oldest();
    }
}

std::size_t attempt_history::size() const noexcept
{
    return m_ends.size();
}

void attempt_history::evict_oldest()
{
    auto const& id = m_order.front();
    auto& floor = m_floors[id.request.gateway];
    floor = std::max(floor, id.request.sequence);
    m_ends.erase(id);
    m_order.pop_front();
}

} // namespace turmericswitch::admission
