#ifndef TURMERICSWITCH_PLACEMENT_STATE_PLACEMENT_RULES_HPP
#define TURMERICSWITCH_PLACEMENT_STATE_PLACEMENT_RULES_HPP

#include "core/config/configuration.hpp"
#include "placement/model/interference_model.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace turmericswitch::placement
{

/// The configuration rules that apply to placement, by interned kind.
class placement_rules
{
public:
    /// @return The index of the kind, the same one for every call.
    kind_index intern(core::task_kind const& kind);

    void replace(core::configuration const& config);

    bool never_share(kind_index a, kind_index b) const;

    /// @return True if any never-share rule names the kind.
    bool has_sharing_rule(kind_index kind) const;

    std::optional<std::uint32_t> limit_per_worker(kind_index kind) const;

    /// @return The quota of the team, or nothing when it has none.
    std::optional<core::resources> quota(core::team_id const& team) const;

    core::priority_class priority(kind_index kind,
                                  core::priority_class declared) const;

    /// @param own Deadline of the job itself; takes precedence over the rule.
    /// @param submitted When the job was first queued; a daily deadline is
    /// the next one after this time.
    std::optional<core::wall_time> deadline(kind_index kind,
                                            std::optional<core::wall_time> own,
                                            core::wall_time submitted) const;

private:
    std::map<core::task_kind, kind_index> m_kinds;
    std::set<std::pair<kind_index, kind_index>> m_never_share;
    std::map<kind_index, std::uint32_t> m_limits;
    std::map<core::team_id, core::resources> m_quotas;
    std::map<kind_index, core::priority_rule> m_priorities;
};

} // namespace turmericswitch::placement

#endif
