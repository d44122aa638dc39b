#include "cluster_state/leader/backend_registry.hpp"

namespace turmericswitch::cluster_state
{

backend_registry::backend_registry(core::term epoch, core::duration lease)
    : m_version{epoch, core::sequence_number(0)}, m_lease(lease)
{
}

core::announce_answer
backend_registry::announce(core::announce_request const& request,
                           bool drain,
                           core::revision current,
                           core::time_point now)
{
    core::announce_answer answer;
    answer.lease = m_lease;
    answer.drain = drain;
    answer.current = current;
    auto entry = request.entry;
    entry.draining = entry.draining || drain;
    auto const known = m_entries.find(entry.backend);
    bool const is_known = known != m_entries.end();
    if (is_known &&
        entry.sidecar_incarnation < known->second.entry.sidecar_incarnation)
    {
        answer.code = core::result_code::wrong_incarnation;
        return answer;
    }
    bool const is_changed = !is_known || known->second.entry != entry;
    if (is_known)
    {
        m_by_end.erase({known->second.end, entry.backend});
    }
    auto const end = now + m_lease;
    m_by_end.insert({end, entry.backend});
    auto const backend = entry.backend;
    m_entries[backend] = {std::move(entry), request.in_force, end};
    if (is_changed)
    {
        record_change(backend);
    }
    return answer;
}

bool backend_registry::remove_expired(core::time_point now)
{
    bool is_changed = false;
    while (!m_by_end.empty() && m_by_end.begin()->first <= now)
    {
        auto const backend = m_by_end.begin()->second;
        m_by_end.erase(m_by_end.begin());
        m_entries.erase(backend);
        record_change(backend);
        is_changed = true;
    }
    return is_changed;
}

void backend_registry::record_change(core::backend_id const& backend)
{
    m_version.version = core::sequence_number(m_version.version.value() + 1);
    m_changes.push_back(backend);
    if (m_changes.size() > max_registry_changes)
    {
        m_changes.pop_front();
    }
}

void backend_registry::changes_since(core::registry_version known,
                                     core::watch_answer& answer) const
{
    auto const latest = m_version.version.value();
    auto const oldest = latest - m_changes.size();
    answer.registry = m_version;
    answer.whole_registry = known.epoch != m_version.epoch ||
                            known.version.value() < oldest ||
                            known.version.value() > latest;
    if (answer.whole_registry)
    {
        for (auto const& [backend, each] : m_entries)
        {
            answer.changed.push_back(each.entry);
        }
        return;
    }
    auto const skipped =
        static_cast<std::ptrdiff_t>(known.version.value() - oldest);
    std::set<core::backend_id> const names(m_changes.begin() + skipped,
                                           m_changes.end());
    for (auto const& name : names)
    {
        if (auto const at = m_entries.find(name); at != m_entries.end())
        {
            answer.changed.push_back(at->second.entry);
        }
        else
        {
            answer.removed.push_back(name);
        }
    }
}

core::registry_version backend_registry::version() const noexcept
{
    return m_version;
}

std::optional<core::revision>
backend_registry::reported_revision(core::backend_id const& backend) const
{
    auto const at = m_entries.find(backend);
    return at == m_entries.end() ? std::nullopt
                                 : std::optional(at->second.in_force);
}

std::size_t backend_registry::size() const noexcept
{
    return m_entries.size();
}

} // namespace turmericswitch::cluster_state
