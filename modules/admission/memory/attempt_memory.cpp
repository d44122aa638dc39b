#include "admission/memory/attempt_memory.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::admission
{

attempt_memory::attempt_memory(std::size_t max_ends, std::size_t max_gateways)
    : m_max_ends(max_ends), m_max_gateways(max_gateways)
{
    assert(max_ends > 0 && max_gateways > 0);
}

memory_finding attempt_memory::find(core::attempt_id const& id) const
{
    if (m_ends.contains(id))
    {
        return memory_finding::ended;
    }
    auto const floor = m_floors.find(id.request.gateway);
    if (floor == m_floors.end())
    {
        return m_floors.size() < m_max_gateways
                   ? memory_finding::fresh
                   : memory_finding::gateway_refused;
    }
    return id.request.sequence <= floor->second ? memory_finding::forgotten
                                                : memory_finding::fresh;
}

std::optional<attempt_end>
attempt_memory::end_of(core::attempt_id const& id) const
{
    auto const found = m_ends.find(id);
    if (found == m_ends.end())
    {
        return std::nullopt;
    }
    return found->second;
}

void attempt_memory::track(core::attempt_id const& id)
{
    m_floors.try_emplace(id.request.gateway);
}

void attempt_memory::remember(core::attempt_id const& id,
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

std::size_t attempt_memory::size() const noexcept
{
    return m_ends.size();
}

void attempt_memory::evict_oldest()
{
    auto const& id = m_order.front();
    auto& floor = m_floors[id.request.gateway];
    floor = std::max(floor, id.request.sequence);
    m_ends.erase(id);
    m_order.pop_front();
}

} // namespace turmericswitch::admission
