#include "cluster_state/sessions/claim_table.hpp"

namespace turmericswitch::cluster_state
{

using core::result_code;

result_code claim_table::claim(core::claim_key const& command,
                               core::time_point now)
{
    if (command.key.empty() || command.key.size() > max_key_bytes)
    {
        return result_code::request_malformed;
    }
    if (is_released(command.request, now))
    {
        return result_code::not_run;
    }
    claim_name const name{command.service, command.key};
    auto const known = m_claims.find(name);
    if (known != m_claims.end() && known->second.expires > now)
    {
        if (known->second.finished)
        {
            return result_code::duplicate_request;
        }
        return known->second.request == command.request
                   ? result_code::ok
                   : result_code::outcome_unknown;
    }
    erase(name);
    restore(core::claim_record{command.service,
                               command.key,
                               command.request,
                               false,
                               now + core::claim_lifetime});
    return result_code::ok;
}

void claim_table::finish(core::finish_claim const& command,
                         core::time_point now)
{
    // Also without a claim: it may be committed after its release.
    if (!command.ran && command.refuse_for > core::duration::zero())
    {
        restore(core::released_request_record{command.request,
                                              now + command.refuse_for});
    }
    claim_name const name{command.service, command.key};
    auto const known = m_claims.find(name);
    if (known == m_claims.end() || known->second.request != command.request)
    {
        return;
    }
    if (command.ran)
    {
        known->second.finished = true;
    }
    else if (!known->second.finished)
    {
        erase(name);
    }
}

void claim_table::expire(core::time_point now, std::size_t limit)
{
    for (std::size_t removed = 0; removed < limit && !m_by_expiry.empty() &&
                                  m_by_expiry.begin()->first <= now;
         ++removed)
    {
        m_claims.erase(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
    }
    for (std::size_t removed = 0;
         removed < limit && !m_released_by_expiry.empty() &&
         m_released_by_expiry.begin()->first <= now;
         ++removed)
    {
        erase_first_released();
    }
}

bool claim_table::is_released(core::request_id const& request,
                              core::time_point now) const
{
    auto const known = m_released.find(request);
    return known != m_released.end() && now < known->second;
}

void claim_table::restore(core::released_request_record const& record)
{
    auto const& request = record.request;
    if (auto const known = m_released.find(request); known != m_released.end())
    {
        m_released_by_expiry.erase({known->second, request});
    }
    else if (m_released.size() >= max_released_requests)
    {
        erase_first_released();
    }
    m_released[request] = record.expires;
    m_released_by_expiry.insert({record.expires, request});
}

void claim_table::erase_first_released()
{
    m_released.erase(m_released_by_expiry.begin()->second);
    m_released_by_expiry.erase(m_released_by_expiry.begin());
}

std::vector<core::released_request_record> claim_table::released_records() const
{
    std::vector<core::released_request_record> all;
    all.reserve(m_released.size());
    for (auto const& [request, expires] : m_released)
    {
        all.push_back({request, expires});
    }
    return all;
}

void claim_table::restore(core::claim_record record)
{
    claim_name const name{record.service, record.key};
    m_by_expiry.insert({record.expires, name});
    m_claims[name] = std::move(record);
}

std::vector<core::claim_record> claim_table::records() const
{
    std::vector<core::claim_record> all;
    all.reserve(m_claims.size());
    for (auto const& [name, record] : m_claims)
    {
        all.push_back(record);
    }
    return all;
}

void claim_table::erase(claim_name const& name)
{
    if (auto const known = m_claims.find(name); known != m_claims.end())
    {
        m_by_expiry.erase({known->second.expires, name});
        m_claims.erase(known);
    }
}

} // namespace turmericswitch::cluster_state
