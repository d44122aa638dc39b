#ifndef TURMERICSWITCH_CLUSTER_STATE_MACHINE_STATE_MACHINE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_MACHINE_STATE_MACHINE_HPP

#include "cluster_state/configuration/configuration_state.hpp"
#include "cluster_state/jobs/job_manager.hpp"
#include "cluster_state/sessions/claim_table.hpp"
#include "cluster_state/sessions/session_table.hpp"
#include "workflow/table/workflow_table.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Maximum records of each kind that one `expire_records` command removes, so
/// that no command takes long.
constexpr std::size_t max_expired_per_command = 5000;

/// The replicated state of the cluster. Every control instance applies the same
/// commands in the same order and so has the same state.
///
/// Cost: configuration commands O(rules); `placement_batch`, `cancel_jobs`,
/// `submit_jobs`, `worker_reports`, `expire_leases` O(log n) per item; all
/// others O(log n). Snapshot and restore are linear.
class state_machine
{
public:
    /// Applies one committed command.
    ///
    /// @param index Log index; must be above that of the last command.
    /// @return The reply; a resent command gets its first reply again.
    core::command_reply apply(core::log_index index,
                              core::command_envelope const& envelope);

    /// @return The whole state, encoded for `restore`.
    std::string snapshot() const;

    /// Replaces the state with a snapshot. The hold observer stays, but is not
    /// called.
    ///
    /// @return True on success; false with `snapshot_damaged`, and the state is
    /// unchanged.
    bool restore(std::string_view bytes);

    core::log_index applied() const noexcept;
    /// @return Cluster time of the last command.
    core::time_point now() const noexcept;
    configuration_state const& config() const noexcept;
    job_table const& jobs() const noexcept;
    worker_table const& workers() const noexcept;
    workflow::workflow_table const& workflows() const noexcept;
    core::state_counters const& counters() const noexcept;

    /// @return All attempts that hold resources of a worker. Linear in workers
    /// and tasks; meant for one call per election.
    std::vector<core::held_task> held_tasks() const;

    /// @param observer Called inside `apply` whenever a hold begins or ends;
    /// the leader keeps its `lease_table` up to date with it. May be empty.
    void observe_holds(hold_observer observer);

private:
    core::command_reply execute(core::command_envelope const& envelope);
    core::command_reply submit(core::submit_workflow const& command);
    core::command_reply remove_expired();

    core::log_index m_applied;
    core::time_point m_now;
    configuration_state m_config;
    job_manager m_job_manager;
    session_table m_sessions;
    workflow::workflow_table m_workflows;
    claim_table m_claims;
};

} // namespace turmericswitch::cluster_state

#endif
