#include "consensus/log/replicated_log.hpp"

#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::consensus
{

using core::log_index;

replicated_log::replicated_log(core::snapshot_metadata base,
                               std::vector<core::log_entry> entries)
{
    reset(std::move(base));
    for (auto& entry : entries)
    {
        if (entry.index > m_base_index)
        {
            append(std::move(entry));
        }
    }
}

log_index replicated_log::base_index() const
{
    return m_base_index;
}

log_index replicated_log::last_index() const
{
    return log_index(m_base_index.value() + m_entries.size());
}

core::term replicated_log::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().entry_term;
}

std::optional<core::term> replicated_log::term_at(log_index index) const
{
    if (index < m_base_index || index > last_index())
    {
        return std::nullopt;
    }
    return index == m_base_index ? m_base_term : at(index).entry_term;
}

core::log_entry const& replicated_log::at(log_index index) const
{
    assert(index > m_base_index && index <= last_index());
    return m_entries[index.value() - m_base_index.value() - 1];
}

log_index replicated_log::first_index_of_term(log_index index) const
{
    auto const wanted = term_at(index);
    while (index > m_base_index &&
           term_at(log_index(index.value() - 1)) == wanted)
    {
        index = log_index(index.value() - 1);
    }
    return index;
}

log_index replicated_log::last_within(log_index first,
                                      std::size_t max_bytes) const
{
    auto last = first;
    auto bytes = payload_bytes(first, first);
    while (last < last_index())
    {
        auto const next = log_index(last.value() + 1);
        bytes += payload_bytes(next, next);
        if (bytes > max_bytes)
        {
            break;
        }
        last = next;
    }
    return last;
}

std::vector<core::log_entry> replicated_log::slice(log_index first,
                                                   log_index last) const
{
    std::vector<core::log_entry> found;
    for (auto index = first; index <= last;
         index = log_index(index.value() + 1))
    {
        found.push_back(at(index));
    }
    return found;
}

std::size_t replicated_log::payload_bytes(log_index first, log_index last) const
{
    std::size_t bytes = 0;
    for (auto index = first; index <= last;
         index = log_index(index.value() + 1))
    {
        bytes += at(index).data.size() + 1;
    }
    return bytes;
}

void replicated_log::append(core::log_entry entry)
{
    assert(entry.index.value() == last_index().value() + 1);
    record_membership(entry);
    m_entries.push_back(std::move(entry));
}

void replicated_log::truncate(log_index from)
{
    assert(from > m_base_index);
    while (last_index() >= from)
    {
        m_entries.pop_back();
    }
    while (m_memberships.back().since >= from)
    {
        m_memberships.pop_back();
    }
}

void replicated_log::compact(log_index index)
{
    while (m_base_index < index && !m_entries.empty())
    {
        m_base_index = m_entries.front().index;
        m_base_term = m_entries.front().entry_term;
        m_entries.pop_front();
    }
    while (m_memberships.size() > 1 && m_memberships[1].since <= m_base_index)
    {
        m_memberships.erase(m_memberships.begin());
    }
}

void replicated_log::reset(core::snapshot_metadata base)
{
    m_base_index = base.last_index;
    m_base_term = base.last_term;
    m_entries.clear();
    m_memberships.clear();
    m_memberships.push_back({base.last_index, std::move(base.membership)});
}

core::group_membership const& replicated_log::membership() const
{
    return m_memberships.back().members;
}

log_index replicated_log::membership_index() const
{
    return m_memberships.back().since;
}

core::group_membership const&
replicated_log::membership_at(log_index index) const
{
    auto const after = std::find_if(m_memberships.begin() + 1,
                                    m_memberships.end(),
                                    [index](membership_record const& record)
                                    { return record.since > index; });
    return std::prev(after)->members;
}

void replicated_log::record_membership(core::log_entry const& entry)
{
    if (entry.kind != core::entry_kind::membership)
    {
        return;
    }
    // All members ignore an undecodable entry, so their memberships stay equal.
    if (auto members = wire::decode<core::group_membership>(entry.data))
    {
        m_memberships.push_back({entry.index, std::move(*members)});
    }
}

} // namespace turmericswitch::consensus
