#ifndef TURMERICSWITCH_CLUSTER_STATE_SESSIONS_SESSION_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_SESSIONS_SESSION_TABLE_HPP

#include "core/messages/state.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Time without a command after which a session may be removed. Clients resend
/// a command for at most an hour, so the removal can't make one run twice.
constexpr core::duration session_lifetime = std::chrono::hours(24);

/// Stores the last command of every client and its reply, so that a resent
/// command is not executed again. Every call costs O(log sessions).
///
/// A client numbers its commands from 1. An unknown client with a higher
/// sequence number had a session that expired.
class session_table
{
public:
    /// @return The reply to a command that must not be executed: the first
    /// reply for a resent command, `stale_sequence` for an older one, or
    /// `session_expired`. Nothing if the command is to be executed.
    std::optional<core::command_reply>
    find_reply(core::client_id const& client,
               core::sequence_number sequence) const;

    /// Stores the reply of an executed command.
    void store(core::session_record record);

    /// Removes at most `limit` sessions unused for `session_lifetime`.
    void expire(core::time_point now, std::size_t limit);

    /// @return All sessions, sorted by client.
    std::vector<core::session_record> records() const;

    std::size_t size() const noexcept;

private:
    std::map<core::client_id, core::session_record> m_sessions;
    std::set<std::pair<core::time_point, core::client_id>> m_by_last_use;
};

} // namespace turmericswitch::cluster_state

#endif
