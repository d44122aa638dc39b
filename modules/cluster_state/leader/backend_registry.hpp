#ifndef TURMERICSWITCH_CLUSTER_STATE_LEADER_BACKEND_REGISTRY_HPP
#define TURMERICSWITCH_CLUSTER_STATE_LEADER_BACKEND_REGISTRY_HPP

#include "core/messages/registry.hpp"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace turmericswitch::cluster_state
{

/// Changes kept for deltas; a process further behind receives all entries.
constexpr std::size_t max_registry_changes = 4096;

/// The control leader's list of backend servers, whose leases are renewed by
/// announcements of their sidecars.
///
/// One registry serves one term of leadership. The term is the epoch of its
/// versions, so a process never applies a delta of another leader. `announce`
/// and `remove_expired` cost O(log backend servers) per entry; `changes_since`
/// costs O(changes) or O(backend servers) when the whole registry is sent.
class backend_registry
{
public:
    /// @param lease Time after which an entry expires unless announced again.
    backend_registry(core::term epoch, core::duration lease);

    /// Adds or renews an entry. An announcement of an earlier incarnation of
    /// the sidecar is refused with `wrong_incarnation`.
    ///
    /// @param drain True if operators want the backend server to drain.
    /// @param current Configuration revision, for the answer.
    core::announce_answer announce(core::announce_request const& request,
                                   bool drain,
                                   core::revision current,
                                   core::time_point now);

    /// Removes entries whose lease has expired.
    /// @return True if an entry was removed.
    bool remove_expired(core::time_point now);

    /// Sets `registry`, `whole_registry`, `changed` and `removed` of the
    /// answer: the changes since `known`, or all entries if those are not
    /// available.
    void changes_since(core::registry_version known,
                       core::watch_answer& answer) const;

    core::registry_version version() const noexcept;

    /// @return The configuration revision that the sidecar last reported to be
    /// in force, or nothing.
    std::optional<core::revision>
    reported_revision(core::backend_id const& backend) const;

    std::size_t size() const noexcept;

private:
    struct registration
    {
        core::backend_entry entry;
        core::revision in_force;
        core::time_point end;
    };

    void record_change(core::backend_id const& backend);

    core::registry_version m_version;
    core::duration m_lease;
    std::map<core::backend_id, registration> m_entries;
    std::set<std::pair<core::time_point, core::backend_id>> m_by_end;
    /// Version `m_version - size + 1 + i` changed the entry `m_changes[i]`.
    std::deque<core::backend_id> m_changes;
};

} // namespace turmericswitch::cluster_state

#endif
