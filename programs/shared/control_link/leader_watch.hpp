#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_LEADER_WATCH_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_LEADER_WATCH_HPP

#include "core/hooks/random_source.hpp"
#include "core/messages/leader_watch.hpp"

#include <optional>
#include <vector>

namespace turmericswitch::shared
{

/// A control instance that became the leader.
struct leader_announcement
{
    core::endpoint leader;
    core::term leader_term;
    /// Time after which this process sends its first report to the leader.
    core::duration report_after{};

    bool operator==(leader_announcement const&) const = default;
};

/// A `/leader-watch` call to begin now.
struct leader_watch_call
{
    core::endpoint member;
    core::leader_watch_request request;
};

/// Decides at which control instances a process keeps a `/leader-watch` call
/// open, and which of their answers announce a new leader.
///
/// It keeps one call at each known instance, including the current leader, so
/// that one which loses leadership and gains it again is noticed too. It has no
/// I/O and reads no clock.
class leader_watch
{
public:
    /// @param random Spreads the calls of many processes over time.
    explicit leader_watch(core::random_source random);

    /// Replaces the instances to watch. Answers of the others are ignored from
    /// now on.
    void set_members(core::time_point now,
                     std::vector<core::endpoint> const& members);

    /// @return Calls to begin. The instances count as called; each call must
    /// be followed by `answered` or `failed`.
    std::vector<leader_watch_call> take_due(core::time_point now);

    /// @return When `take_due` returns the next call; nothing while every
    /// instance has an open call.
    std::optional<core::time_point> next_due() const;

    /// @return The announcement, if the instance leads a later term than any
    /// that was announced before.
    std::optional<leader_announcement>
    answered(core::time_point now,
             core::endpoint const& member,
             core::leader_watch_answer const& answer);

    /// Handles a call that ended without an answer.
    ///
    /// @param code `unknown_path` if the instance has an older release that
    /// does not serve the call.
    void failed(core::time_point now,
                core::endpoint const& member,
                core::result_code code);

private:
    struct watched_member
    {
        core::endpoint where;
        core::time_point due;
        core::time_point begun;
        unsigned failures = 0;
        bool is_open = false;
    };

    watched_member* find_open(core::endpoint const& where);

    core::random_source m_random;
    std::vector<watched_member> m_members;
    core::term m_known;
};

} // namespace turmericswitch::shared

#endif
