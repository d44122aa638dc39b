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

/// A session unused for this long may be removed. Clients don't resend a
/// command for longer than an hour, so a removed session can't run one twice.
constexpr core::duration session_lifetime = std::chrono::hours(24);

/// Remembers the last command of every client and its reply, so that a resent
/// command is not run again. Every call costs O(log sessions).
///
/// A client starts with sequence 1 and adds one per command. An unknown
/// client with a higher sequence had a session that expired.
class session_table
{
public:
    /// @return The reply that answers the command without running it (the
    /// first reply, `stale_sequence` or `session_expired`), or nothing if the
    /// command is to be run.
    std::optional<core::command_reply>
    known_reply(core::client_id const& client,
                core::sequence_number sequence) const;

    /// Stores the reply of a command that was run.
    void store(core::session_record record);

    /// Removes at most `limit` sessions unused for `session_lifetime`.
    void expire(core::time_point now, std::size_t limit);

    /// @return All sessions, by client.
    std::vector<core::session_record> records() const;

    std::size_t size() const noexcept;

private:
    std::map<core::client_id, core::session_record> m_sessions;
    std::set<std::pair<core::time_point, core::client_id>> m_by_use;
};

} // namespace turmericswitch::cluster_state

#endif
