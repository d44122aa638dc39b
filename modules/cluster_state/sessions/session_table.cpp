#include "cluster_state/sessions/session_table.hpp"

namespace turmericswitch::cluster_state
{

namespace
{

core::command_reply refusal(core::result_code code, std::string text)
{
    core::command_reply reply;
    reply.code = code;
    reply.text = std::move(text);
    return reply;
}

} // namespace

std::optional<core::command_reply>
session_table::find_reply(core::client_id const& client,
                          core::sequence_number sequence) const
{
    auto const known = m_sessions.find(client);
    if (known == m_sessions.end())
    {
        if (sequence == core::sequence_number(1))
        {
            return std::nullopt;
        }
        return refusal(core::result_code::session_expired,
                       "no session of " + client.value() +
                           "; open one with sequence 1 and a new client id");
    }
    if (sequence == known->second.sequence)
    {
        return known->second.reply;
    }
    if (sequence < known->second.sequence)
    {
        return refusal(core::result_code::stale_sequence,
                       "the session is at sequence " +
                           std::to_string(known->second.sequence.value()));
    }
    return std::nullopt;
}

void session_table::store(core::session_record record)
{
    auto& slot = m_sessions[record.client];
    m_by_last_use.erase({slot.used, record.client});
    m_by_last_use.insert({record.used, record.client});
    slot = std::move(record);
}

void session_table::expire(core::time_point now, std::size_t limit)
{
    for (; limit > 0 && !m_by_last_use.empty() &&
           m_by_last_use.begin()->first + session_lifetime <= now;
         --limit)
    {
        m_sessions.erase(m_by_last_use.begin()->second);
        m_by_last_use.erase(m_by_last_use.begin());
    }
}

std::vector<core::session_record> session_table::records() const
{
    std::vector<core::session_record> all;
    all.reserve(m_sessions.size());
    for (auto const& [client, record] : m_sessions)
    {
        all.push_back(record);
    }
    return all;
}

std::size_t session_table::size() const noexcept
{
    return m_sessions.size();
}

} // namespace turmericswitch::cluster_state
