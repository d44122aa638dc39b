#ifndef TURMERICSWITCH_CONTROL_NODE_CONTROL_NODE_HPP
#define TURMERICSWITCH_CONTROL_NODE_CONTROL_NODE_HPP

#include "leader/leader_duties.hpp"
#include "leader/leader_watch_hub.hpp"
#include "leader/workflow_service.hpp"
#include "node/membership_manager.hpp"
#include "node/peer_links.hpp"
#include "node/replica.hpp"
#include "process/loop/event_loop.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace turmericswitch::control
{

/// A control instance without its listening sockets.
///
/// It owns the event loop, the replica and, while this instance leads, the
/// leader's duties and the workflow service. The HTTP and RPC interfaces pass
/// tasks to `run`; a task executes on the loop's thread and may use the
/// accessors below.
class control_node
{
public:
    /// @param io Must outlive the node.
    control_node(transport::io_pool& io,
                 replica_parts parts,
                 duty_settings duties,
                 workflow::dispatch_options dispatch = {});

    /// Makes the instance join its group automatically and, as the leader,
    /// admit other instances. Call it before `start`.
    ///
    /// @param self Id and addresses of this instance.
    /// @param seeds Control instances to ask for the leader.
    void manage_membership(core::group_member self,
                           std::vector<core::endpoint> seeds);

    ~control_node();

    control_node(control_node const&) = delete;
    control_node& operator=(control_node const&) = delete;

    void start();

    /// Transfers leadership, if this instance leads, and waits briefly for the
    /// successor's election. Call it before the interfaces stop, so that
    /// requests are redirected to the successor.
    void transfer_leadership();

    /// Answers everything that waits for the leader's duties or the workflow
    /// service with `not_leader`. Needed if no successor was elected.
    void end_duties();

    /// Stops the event loop.
    void stop();

    /// Queues a task for the event loop; from any thread.
    void run(process::event_loop::task work);

    /// Delivers a consensus message; from any thread.
    void receive(core::consensus_message message);

    // Only on the loop's thread.

    /// @return This instance's member of the control group.
    replica& group();
    /// @return Null while another instance leads.
    std::shared_ptr<leader_duties> const& duties() const;
    /// @return Null if `manage_membership` was not called; operators then
    /// change the group's members.
    std::shared_ptr<membership_manager> const& membership() const;
    /// @return RPC endpoints of the group's members.
    std::vector<core::endpoint> control_endpoints() const;
    /// @return Null while this instance does not lead.
    std::shared_ptr<workflow_service> const& workflows() const;
    leader_watch_hub& leader_watches();
    /// @return The location with the zone's canonical name and region from the
    /// configuration in force.
    core::location canonical_place(core::location const& place);
    /// @return The service's canonical name, or the given one if it has none.
    core::service_id canonical_service(core::service_id const& service);

    // From any thread.

    telemetry::decision_log& decisions();
    telemetry::metrics_registry& metrics();
    /// @return Empty if this instance can write to its disk and knows a
    /// leader, else the reason why not.
    std::string readiness() const;

private:
    replica_hooks make_hooks();
    static core::log_index last_index_of(replica_parts const& parts);
    void on_tick();
    void on_group_changed();
    void on_members_received(core::group_membership const& members);
    void end_workflow_service();
    void add_metrics();
    void add_replication_metrics();
    void add_redundancy_metrics();
    void update_replication_metrics();
    /// Logs an operator's change of the configuration or of a zone, unless the
    /// entry was recovered from disk and logged before the restart.
    void log_operator_command(core::command_body const& command,
                              core::command_reply const& reply);
    void log_document_delta(core::apply_document_delta const& change,
                            core::command_reply const& reply);

    telemetry::logger m_log{"control"};
    telemetry::metrics_registry m_metrics;
    telemetry::decision_log m_decisions;
    leader_watch_hub m_leader_watches;
    telemetry::counter& m_commands;
    telemetry::counter& m_leaderships;
    telemetry::counter& m_storage_failures;
    duty_settings m_duty_settings;
    workflow::dispatch_options m_dispatch;
    std::atomic<bool> m_knows_leader = false;
    std::atomic<bool> m_storage_failed = false;
    std::atomic<std::uint64_t> m_applied_index = 0;
    std::atomic<std::uint64_t> m_revision = 0;
    std::atomic<bool> m_leads = false;
    std::atomic<std::uint64_t> m_peer_bytes = 0;
    std::atomic<std::int64_t> m_snapshot_cpu_time_us = 0;
    std::atomic<std::int64_t> m_commit_stall_us = 0;
    /// Guards `m_replication` and `m_redundancy`, which the metrics read on
    /// another thread.
    std::mutex m_replication_mutex;
    std::vector<consensus::replication_status> m_replication;
    /// Empty while this instance doesn't lead.
    std::optional<consensus::redundancy> m_redundancy;
    transport::io_pool& m_io;
    std::uint64_t m_seed;
    core::group_membership m_contacts;
    /// Last log entry found on disk at the start, or applied before the storage
    /// failed. Operator commands up to it were logged when they were first
    /// applied.
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
