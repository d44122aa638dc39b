#include "cluster_state/leader/lease_table.hpp"

#include <algorithm>

namespace turmericswitch::cluster_state
{

lease_table::lease_table(lease_settings settings) : m_settings(settings) {}

void lease_table::begin_term(std::vector<core::held_task> const& held,
                             core::time_point now)
{
    m_leases.clear();
    m_by_end.clear();
    m_last_permit.clear();
    m_elected_at = now;
    auto const longest =
        std::max(m_settings.batch_lease, m_settings.service_lease);
    for (auto const& task : held)
    {
        set_end(task, now + with_drift(longest));
    }
}

void lease_table::add_placement(core::held_task const& task,
                                core::time_point now)
{
    set_end(task, now + m_settings.unsent_start_timeout);
}

void lease_table::remove(core::held_task const& task)
{
    if (auto const known = m_leases.find(task); known != m_leases.end())
    {
        m_by_end.erase({known->second.end, task});
        m_leases.erase(known);
    }
}

core::duration
lease_table::lease_for(core::priority_class priority) const noexcept
{
    return priority == core::priority_class::service ? m_settings.service_lease
                                                     : m_settings.batch_lease;
}

bool lease_table::grant(core::held_task const& task,
                        core::duration lease,
                        core::time_point now)
{
    auto const known = m_leases.find(task);
    if (known == m_leases.end() || known->second.expired)
    {
        return false;
    }
    set_end(task, std::max(known->second.end, now + with_drift(lease)));
    return true;
}

void lease_table::record_permit(core::zone_id const& zone, core::time_point now)
{
    m_last_permit[zone] = now;
}

core::time_point
lease_table::last_permit_expiry(core::zone_id const& zone) const
{
    auto const last = m_last_permit.find(zone);
    auto const from = last == m_last_permit.end() ? m_elected_at : last->second;
    return from + with_drift(m_settings.permit);
}

std::vector<core::held_task> lease_table::expire(core::time_point now)
{
    std::vector<core::held_task> ended;
    for (auto const& [end, task] : m_by_end)
    {
        if (end > now)
        {
            break;
        }
        m_leases[task].expired = true;
        ended.push_back(task);
    }
    return ended;
}

lease_settings const& lease_table::settings() const noexcept
{
    return m_settings;
}

std::size_t lease_table::size() const noexcept
{
    return m_leases.size();
}

core::duration lease_table::with_drift(core::duration counted) const noexcept
{
    // A slow worker clock and a fast leader clock make the lease longer by the
    // factor (1 + d) / (1 - d), which is below 1 + 3d for drifts d below 1/3.
    return counted + counted * 3 * m_settings.drift_permille / 1000;
}

void lease_table::set_end(core::held_task const& task, core::time_point end)
{
    auto& slot = m_leases[task];
    m_by_end.erase({slot.end, task});
    slot.end = end;
    m_by_end.insert({end, task});
}

} // namespace turmericswitch::cluster_state
