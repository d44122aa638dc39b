#include "placement/state/placement_rules.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

kind_index placement_rules::intern(core::task_kind const& kind)
{
    auto const next = static_cast<kind_index>(m_kinds.size());
    return m_kinds.emplace(kind, next).first->second;
}

void placement_rules::replace(core::configuration const& config)
{
    m_never_share.clear();
    m_limits.clear();
    m_quotas.clear();
    m_priorities.clear();
    for (auto const& rule : config.colocations)
    {
        if (rule.mode != core::colocation::never_share)
        {
            continue;
        }
        auto const a = intern(rule.first);
        auto const b = intern(rule.second);
        m_never_share.emplace(a, b);
        m_never_share.emplace(b, a);
    }
    for (auto const& rule : config.kind_limits)
    {
        m_limits[intern(rule.kind)] = rule.max_per_worker;
    }
    for (auto const& rule : config.quotas)
    {
        m_quotas[rule.team] = rule.limit;
    }
    for (auto const& rule : config.priorities)
    {
        m_priorities[intern(rule.kind)] = rule;
    }
}

bool placement_rules::never_share(kind_index a, kind_index b) const
{
    return m_never_share.contains({a, b});
}

bool placement_rules::has_sharing_rule(kind_index kind) const
{
    auto const first = m_never_share.lower_bound({kind, 0});
    return first != m_never_share.end() && first->first == kind;
}

std::optional<std::uint32_t>
placement_rules::limit_per_worker(kind_index kind) const
{
    auto const found = m_limits.find(kind);
    return found == m_limits.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::optional<core::resources>
placement_rules::quota(core::team_id const& team) const
{
    auto const found = m_quotas.find(team);
    return found == m_quotas.end() ? std::nullopt
                                   : std::optional(found->second);
}

core::priority_class
placement_rules::priority(kind_index kind, core::priority_class declared) const
{
    auto const found = m_priorities.find(kind);
    return found == m_priorities.end() ? declared : found->second.priority;
}

std::optional<core::wall_time>
placement_rules::deadline(kind_index kind,
                          std::optional<core::wall_time> own,
                          core::wall_time submitted) const
{
    auto const found = m_priorities.find(kind);
    if (own || found == m_priorities.end() || !found->second.deadline_minute)
    {
        return own;
    }
    auto const midnight =
        std::chrono::floor<std::chrono::days>(submitted.time_since_epoch());
    std::chrono::minutes const minute(*found->second.deadline_minute);
    core::wall_time const today(midnight + minute);
    return today > submitted ? today : today + std::chrono::days(1);
}

} // namespace turmericswitch::placement
