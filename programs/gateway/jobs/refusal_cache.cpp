#include "gateway/jobs/refusal_cache.hpp"

#include <algorithm>

namespace turmericswitch::gateway
{

void refusal_cache::refused(core::time_point now,
                            core::queue_address const& queue,
                            core::duration retry_after)
{
    std::lock_guard const lock(m_mutex);
    m_refusals.insert_or_assign(queue, refusal{now, retry_after});
}

void refusal_cache::accepted(core::queue_address const& queue)
{
    std::lock_guard const lock(m_mutex);
    m_refusals.erase(queue);
}

core::duration refusal_cache::retry_after(core::time_point now,
                                          core::queue_address const& queue,
                                          core::duration otherwise) const
{
    std::lock_guard const lock(m_mutex);
    auto const known = m_refusals.find(queue);
    if (known == m_refusals.end() || now - known->second.at > max_age)
    {
        return otherwise;
    }
    return std::max(known->second.retry_after - (now - known->second.at),
                    otherwise);
}

} // namespace turmericswitch::gateway
