#ifndef TURMERICSWITCH_CONTROL_LEADER_WATCH_HUB_HPP
#define TURMERICSWITCH_CONTROL_LEADER_WATCH_HUB_HPP

#include "cluster_state/configuration/configuration_state.hpp"
#include "cluster_state/leader/backend_registry.hpp"
#include "core/messages/registry.hpp"

#include <functional>
#include <list>
#include <map>

namespace turmericswitch::control
{

/// The last report of a gateway or sidecar.
struct process_report
{
    /// Configuration revision that the process has applied.
    core::revision in_force;
    core::time_point received;
};

/// Holds the long polls of gateways and sidecars until the configuration or
/// the registry of backend servers changes.
///
/// Only the leader has one. It has no I/O and reads no clock.
class watch_hub
{
public:
    using answer_hook = std::function<void(core::watch_answer)>;

    /// @param config Must outlive this object.
    /// @param registry Must outlive this object.
    watch_hub(cluster_state::configuration_state const& config,
              cluster_state::backend_registry const& registry);

    /// Until `complete_at`, does not send the registry to a process that has
    /// the registry of an earlier leader. A new leader's registry is empty
    /// until the sidecars have announced themselves again; sent at once, it
    /// would leave gateways without any backend server.
    void withhold_registry_until(core::time_point complete_at);

    /// Answers at once if the process lacks a change, else at the next change
    /// or after the request's `max_wait`, at most 30 s.
    void
    watch(core::time_point now, core::watch_request request, answer_hook done);

    /// Records the configuration that a process has applied, if it was
    /// reported by a message other than a watch.
    void record_report(core::time_point now,
                       core::client_id const& process,
                       core::revision in_force);

    /// Answers polls that have timed out or for which there is a change.
    void tick(core::time_point now);

    /// Answers every poll with `not_leader`.
    void close();

    std::map<core::client_id, process_report> const& processes() const;

private:
    struct pending_poll
    {
        core::watch_request request;
        core::time_point until;
        answer_hook done;
    };

    core::watch_answer answer_for(core::watch_request const& request) const;
    bool has_changes_for(core::watch_request const& request) const;
    bool may_send_registry(core::watch_request const& request) const;

    cluster_state::configuration_state const& m_config;
    cluster_state::backend_registry const& m_registry;
    std::list<pending_poll> m_polls;
    std::map<core::client_id, process_report> m_processes;
    core::revision m_seen_revision;
    core::registry_version m_seen_registry;
    core::time_point m_registry_complete_at{};
    bool m_registry_is_complete = true;
};

} // namespace turmericswitch::control

#endif
