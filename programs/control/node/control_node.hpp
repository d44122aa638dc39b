#ifndef TURMERICSWITCH_CONTROL_NODE_CONTROL_NODE_HPP
#define TURMERICSWITCH_CONTROL_NODE_CONTROL_NODE_HPP

#include "leader/leader_duties.hpp"
#include "leader/workflow_service.hpp"
#include "node/membership_manager.hpp"
#include "node/peer_links.hpp"
#include "node/replica.hpp"
#include "process/loop/event_loop.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <memory>

namespace turmericswitch::control
{

/// Everything of a control instance that is not a listening socket.
///
/// It owns the event loop, the replica and, while this instance leads, the
/// leader's duties. Interfaces reach it by `run`, whose tasks execute on the
/// loop's thread and may use the accessors below.
class control_node
{
public:
    /// @param io Must outlive the node.
    control_node(transport::io_pool& io,
                 replica_parts parts,
                 duty_settings duties,
                 workflow::dispatch_options dispatch = {});

    /// Lets the instance join its group by itself and, as the leader, take in
    /// others. Call it before `start`.
    void manage_membership(core::group_member self,
                           std::vector<core::endpoint> contacts);

    ~control_node();

    control_node(control_node const&) = delete;
    control_node& operator=(control_node const&) = delete;

    void start();

    /// Hands leadership over and waits a moment for a successor. Call it
    /// before the interfaces stop, so that requests find the successor.
    void transfer_leadership();

    /// Answers everything that waits for the leader's duties, for an instance
    /// that found no successor.
    void end_duties();

    /// Ends the loop.
    void stop();

    void run(process::event_loop::task work);

    /// Delivers a consensus message; from any thread.
    void receive(core::consensus_message message);

    // On the loop's thread.
    replica& group();
    /// @return Null while another instance leads.
    std::shared_ptr<leader_duties> const& duties() const;
    /// @return Null where operators change the group by hand.
    std::shared_ptr<membership_manager> const& membership() const;
    /// @return RPC endpoints of the group's members.
    std::vector<core::endpoint> control_endpoints() const;
    /// @return Null while this instance does not lead.
    std::shared_ptr<workflow_service> const& workflows() const;
    /// @return The name by which the zone is known in the configuration in
    /// force, and its region.
    core::location canonical_place(core::location const& place);
    core::service_id canonical_service(core::service_id const& service);

    // From any thread.
    telemetry::decision_log& decisions();
    telemetry::metrics_registry& metrics();
    /// @return Empty when this instance can write and knows a leader, else
    /// the reason.
    std::string readiness() const;

private:
    replica_hooks make_hooks();
    static core::log_index last_index_of(replica_parts const& parts);
    void on_tick();
    void on_group_changed();
    void on_members_received(core::group_membership const& members);
    void end_workflow_service();
    void add_metrics();
    /// Logs what an operator's command changed on this member.
    void log_operator_command(core::command_body const& command,
                              core::command_reply const& reply);

    telemetry::logger m_log{"control"};
    telemetry::metrics_registry m_metrics;
    telemetry::decision_log m_decisions;
    telemetry::counter& m_commands;
    telemetry::counter& m_leaderships;
    duty_settings m_duty_settings;
    workflow::dispatch_options m_dispatch;
    std::atomic<bool> m_knows_leader = false;
    std::atomic<bool> m_storage_failed = false;
    std::atomic<std::uint64_t> m_applied_index = 0;
    std::atomic<std::uint64_t> m_revision = 0;
    std::atomic<bool> m_leads = false;
    std::atomic<std::uint64_t> m_peer_bytes = 0;
    std::atomic<std::int64_t> m_snapshot_cpu_time_us = 0;
    transport::io_pool& m_io;
    std::uint64_t m_seed;
    core::group_membership m_contacts;
    /// Last entry that the disk had; entries up to it were logged when they
    /// were applied first.
    core::log_index m_last_recovered_index;
    peer_links m_links;
    process::event_loop m_loop;
    std::shared_ptr<leader_duties> m_duties;
    std::shared_ptr<workflow_service> m_workflows;
    std::shared_ptr<membership_manager> m_membership;
    replica m_replica;
};

} // namespace turmericswitch::control

#endif
