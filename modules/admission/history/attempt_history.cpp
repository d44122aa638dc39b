#include "admission/history/attempt_history.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::admission
{

attempt_history::attempt_history(std::size_t max_attempts,
                                 std::size_t max_gateways)
    : m_max_attempts(max_attempts), m_max_gateways(max_gateways)
{
    assert(max_attempts > 0 && max_gateways > 0);
}

attempt_status attempt_history::find(core::attempt_id const& id) const
{
    if (m_ends.contains(id))
    {
        return attempt_status::ended;
    }
    auto const forgotten_up_to = m_forgotten_up_to.find(id.request.gateway);
    if (forgotten_up_to == m_forgotten_up_to.end())
    {
        return m_forgotten_up_to.size() < m_max_gateways
                   ? attempt_status::fresh
                   : attempt_status::gateway_refused;
    }
    return id.request.sequence <= forgotten_up_to->second
               ? attempt_status::forgotten
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

void attempt_history::track_gateway(core::attempt_id const& id)
{
    m_forgotten_up_to.try_emplace(id.request.gateway);
}

void attempt_history::record(core::attempt_id const& id, attempt_end const& end)
{
    track_gateway(id);
    if (!m_ends.try_emplace(id, end).second)
    {
        return;
    }
    m_oldest_first.push_back(id);
    if (m_oldest_first.size() > m_max_attempts)
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
    auto const& id = m_oldest_first.front();
    auto& forgotten_up_to = m_forgotten_up_to[id.request.gateway];
    forgotten_up_to = std::max(forgotten_up_to, id.request.sequence);
    m_ends.erase(id);
    m_oldest_first.pop_front();
}

} // namespace turmericswitch::admission
