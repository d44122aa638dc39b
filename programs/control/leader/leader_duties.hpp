#ifndef TURMERICSWITCH_CONTROL_LEADER_LEADER_DUTIES_HPP
#define TURMERICSWITCH_CONTROL_LEADER_LEADER_DUTIES_HPP

#include "cluster_state/cluster_state.hpp"
#include "leader/planner_sync.hpp"
#include "leader/watch_hub.hpp"
#include "node/replica.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace turmericswitch::control
{

/// Leases and intervals of the work that only the leader does.
struct duty_settings
{
    cluster_state::lease_settings leases;
    /// A backend server is removed from the registry when it has not announced
    /// itself for this long.
    core::duration announce_lease = std::chrono::seconds(10);
    core::duration placement_interval = std::chrono::milliseconds(100);
    core::duration maintenance_interval = std::chrono::seconds(10);
};

using decision_hook = std::function<void(core::decision_record const&)>;

/// The work that only the control leader does for jobs and backend servers:
/// leases, permits, the registry of backend servers, placement of jobs, and
/// periodic maintenance.
///
/// Create one when a leadership begins and destroy it when it ends. Use it
/// only on the event loop's thread.
class leader_duties : public std::enable_shared_from_this<leader_duties>
{
public:
    using heartbeat_hook = std::function<void(core::heartbeat_answer)>;

    /// @param node Must outlive this object.
    leader_duties(replica& node,
                  duty_settings settings,
                  placement::planner_options options,
                  decision_hook on_decision);

    /// Starts the leases of all held tasks and observes the replica. Call once
    /// after construction.
    void begin(core::time_point now);
    /// Answers all waiting polls and heartbeats with `not_leader`.
    void end();

    void tick(core::time_point now, core::wall_time wall);
    /// Call after the replica applied a command.
    void applied(core::command_body const& command,
                 core::command_reply const& reply);

    /// Commits the worker's reports, confirms leadership with a quorum, then
    /// answers.
    ///
    /// @param done Gets the answer, or `not_leader` if leadership could not be
    /// confirmed.
    void heartbeat(core::heartbeat_request request, heartbeat_hook done);

    core::announce_answer announce(core::time_point now,
                                   core::announce_request const& request);
    /// Confirms leadership with a quorum before each answer: a deposed leader
    /// may have an old configuration that the process would take for current.
    ///
    /// @param done Gets the answer, or `not_leader`.
    void watch(core::time_point now,
               core::watch_request request,
               watch_hub::answer_hook done);

    /// @return The time from which no start order sent so far can start a task
    /// in the zone.
    core::time_point last_permit_expiry(core::zone_id const& zone) const;

    std::map<core::client_id, process_report> const& processes() const;
    placement::planner_counts planner_counts() const;
    std::size_t backends() const;

private:
    void answer_heartbeat(core::heartbeat_request const& request,
                          heartbeat_hook const& done);
    void confirm_heartbeats();
    void confirm_watches();
    void expire_leases(core::time_point now);
    void run_placement(core::time_point now, core::wall_time wall);
    void propose_batch(core::placement_batch batch);
    void run_maintenance(core::time_point now);
    void promote_learners();

    struct unconfirmed_heartbeat
    {
        core::heartbeat_request request;
        heartbeat_hook done;
    };

    struct unconfirmed_watch
    {
        core::watch_answer answer;
        watch_hub::answer_hook done;
    };

    replica& m_node;
    duty_settings m_settings;
    decision_hook m_on_decision;
    cluster_state::lease_table m_leases;
    cluster_state::heartbeat_service m_heartbeats;
    cluster_state::backend_registry m_registry;
    planner_sync m_planner_sync;
    watch_hub m_watches;
    core::time_point m_next_placement;
    core::time_point m_next_maintenance;
    /// Heartbeats that need no commit. The next tick confirms leadership once
    /// for all of them.
    std::vector<unconfirmed_heartbeat> m_unconfirmed;
    /// Answers to watches, confirmed in the same way.
    std::vector<unconfirmed_watch> m_unconfirmed_watches;
    bool m_expiry_pending = false;
    bool m_ended = false;
};

} // namespace turmericswitch::control

#endif
