#ifndef TURMERICSWITCH_CLUSTER_STATE_CONFIGURATION_CONFIGURATION_STATE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_CONFIGURATION_CONFIGURATION_STATE_HPP

#include "core/messages/state.hpp"
#include "naming/table/name_table.hpp"
#include "rules/model/rule_set.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Maximum changes in the history, about four days at 1,100 changes a day.
constexpr std::size_t max_history = 4096;
/// Revisions that are kept for deltas. A process that reads the configuration
/// is a few revisions behind at most during a rapid series of changes.
constexpr std::size_t max_kept_revisions = 8;
/// Longer descriptions of one change are truncated.
constexpr std::size_t max_change_bytes = 2048;

/// The rules in force, the operators' commands that override them, and the
/// history of changes.
///
/// An availability zone is in service only if the rules say so and no command
/// took it out. Commands are kept apart from the rules, so applying a rules
/// file never brings back a zone that a command took out; only `set_zone` does.
/// A change costs O(rules), a query O(log rules).
class configuration_state
{
public:
    configuration_state() = default;

    /// Replaces the rules.
    ///
    /// @return `ok`; `revision_conflict` if the command replaces a revision
    /// that is not the current one; the first error if the rules are invalid.
    /// Nothing changes on an error.
    core::command_reply apply(core::apply_rules const& command,
                              core::wall_time wall);
    core::command_reply apply(core::set_zone const& command,
                              core::wall_time wall);
    core::command_reply apply(core::set_drain const& command,
                              core::wall_time wall);
    /// Applies a document if its version is higher than the one in force. A
    /// lower version, or the same document again, is accepted without effect.
    ///
    /// @return `ok`, or `document_conflict` if the version in force has
    /// different content.
    core::command_reply apply(core::apply_document const& command,
                              core::wall_time wall);
    /// Applies a changed document as if it were sent whole.
    ///
    /// @return As for the whole document, or `document_base_mismatch` if the
    ///         delta is to another document than the one in force.
    core::command_reply apply(core::apply_document_delta const& command,
                              core::wall_time wall);
    core::command_reply apply(core::evacuate_zone const& command,
                              core::wall_time wall);

    /// @return The document in force, with its source; version 0 if there is
    /// none.
    core::configuration_document const& document() const noexcept;

    /// @param address As for `core::is_for`.
    /// @return The queue, or null.
    core::queue_rule const*
    find_queue(core::queue_id const& name,
               core::queue_address const& address) const;

    /// @return The configuration in force, including the operators' commands.
    core::configuration const& in_force() const noexcept;

    core::revision current() const noexcept;

    /// @return What was in force at a revision; null unless the revision is one
    ///         of the last `max_kept_revisions` that were applied here. A
    ///         snapshot has only the current one.
    std::shared_ptr<core::configuration const> kept(core::revision made) const;

    /// @return The names of the configuration in force.
    naming::name_table const& names() const noexcept;

    /// @param zone Any name of the zone.
    /// @return True if the zone is known and in service.
    bool is_in_service(core::zone_id const& zone) const;

    /// @param backend Any name of the backend server.
    /// @return True if the backend server is to drain.
    bool is_leaving(core::backend_id const& backend) const;

    /// @return True if a rule says that the two kinds never share a worker.
    bool never_share(core::task_kind const& a, core::task_kind const& b) const;

    /// @return The most tasks of the kind per worker; nothing if unlimited.
    std::optional<std::uint32_t> kind_limit(core::task_kind const& kind) const;

    /// @return The text of the rules, without the operators' commands.
    std::string const& text() const noexcept;

    /// @return Accepted changes, oldest first, at most `max_history`.
    std::deque<core::change_record> const& history() const noexcept;

    core::configuration_record record() const;

    /// @return False if the rules in the record don't compile.
    bool restore(core::configuration_record record);

private:
    std::string canonical_zone(core::zone_id const& zone) const;
    void accept(core::change_record change);
    void update_derived();
    void update_derived_zones();
    void keep_current();
    std::string zones_out_by_command() const;

    core::revision m_current;
    core::operator_id m_author;
    std::string m_text;
    rules::rule_set m_rules;
    core::configuration m_compiled;
    std::vector<core::zone_command> m_zone_commands;
    std::map<core::backend_id, core::drain_command> m_drains;
    std::deque<core::change_record> m_history;
    core::configuration_document m_document;
    std::set<core::zone_id> m_evacuated;

    // Derived from the members above.
    core::configuration m_in_force;
    std::map<core::revision, std::shared_ptr<core::configuration const>> m_kept;
    naming::name_table m_names;
    std::map<std::string, core::zone_state> m_zones;
    std::set<std::string> m_leaving;
    std::set<std::pair<core::task_kind, core::task_kind>> m_never_share;
    std::map<core::task_kind, std::uint32_t> m_kind_limits;
};

} // namespace turmericswitch::cluster_state

#endif
