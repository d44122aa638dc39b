#ifndef TURMERICSWITCH_CONTROL_NODE_MEMBERSHIP_MANAGER_HPP
#define TURMERICSWITCH_CONTROL_NODE_MEMBERSHIP_MANAGER_HPP

#include "consensus/membership/membership_planner.hpp"
#include "core/events/event.hpp"
#include "node/replica.hpp"
#include "shared/control_link/control_link.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmericswitch::control
{

/// Keeps this instance a member of the control group. On the leader it also
/// admits instances that ask to join and removes members that they replace.
///
/// Use it only on the event loop's thread.
class membership_manager
    : public std::enable_shared_from_this<membership_manager>
{
public:
    using answer_hook = std::function<void(core::join_answer)>;
    using members_hook = std::function<void(core::group_membership const&)>;

    /// @param contacts Link to the control instances that are asked for the
    /// leader.
    /// @param seeds Control instances of the settings.
    /// @param self Id and addresses of this instance.
    /// @param on_members_received Gets the group's members from the answer to
    /// a join request, which arrives before the log contains them.
    membership_manager(process::event_loop& loop,
                       replica& node,
                       std::unique_ptr<shared::control_link> contacts,
                       std::vector<core::endpoint> seeds,
                       core::group_member self,
                       members_hook on_members_received,
                       core::event_hook on_event);

    void tick(core::time_point now);

    /// Handles another instance's request to join: adds it as a learner.
    ///
    /// @param done Gets `ok` if the instance is a member or learner now, else
    /// `not_leader` or why the change was refused.
    void join(core::group_member const& joiner, answer_hook const& done);

    /// Replaces the control instances of the settings.
    void set_seeds(std::vector<core::endpoint> seeds);

private:
    void request_join(core::time_point now);
    void continue_changes(core::time_point now);
    core::duration leader_silence(core::time_point now) const;
    void report_silent_leader(core::time_point now);
    /// @return The seeds, which may all be gone, and the members in the log.
    std::vector<core::endpoint> contacts() const;
    bool is_member() const;
    /// @return Why this member hears from no leader, as far as it knows.
    std::string absence_reason() const;
    core::join_answer answer_with(core::result_code code) const;

    process::event_loop& m_loop;
    replica& m_node;
    std::unique_ptr<shared::control_link> m_contacts;
    std::vector<core::endpoint> m_seeds;
    core::group_member m_self;
    members_hook m_on_members_received;
    core::event_hook m_on_event;
    bool m_join_pending = false;
    bool m_change_pending = false;
    core::time_point m_next_join;
    core::time_point m_next_change;
    core::time_point m_started;
    core::time_point m_last_led;
    core::time_point m_next_silence_report;
};

} // namespace turmericswitch::control

#endif
