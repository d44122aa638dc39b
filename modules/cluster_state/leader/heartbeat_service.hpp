#ifndef TURMERICSWITCH_CLUSTER_STATE_LEADER_HEARTBEAT_SERVICE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_LEADER_HEARTBEAT_SERVICE_HPP

#include "cluster_state/leader/lease_table.hpp"
#include "cluster_state/machine/state_machine.hpp"
#include "core/messages/jobs.hpp"

#include <map>
#include <set>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Answers workers' heartbeats on the leader, from committed state only.
///
/// For each heartbeat call `prepare` and propose its commands. Call `answer`
/// once they are applied and a ReadIndex round that began after the receipt of
/// the heartbeat has ended. Late, repeated and reordered heartbeats have no
/// effect. Both calls cost O((tasks held or reported) * log tasks).
class heartbeat_service
{
public:
    explicit heartbeat_service(lease_table& leases);

    /// @return Commands to commit before the answer: `register_worker` for an
    /// unknown or changed worker, `worker_reports` for new reports.
    std::vector<core::command_body>
    prepare(core::heartbeat_request const& heartbeat,
            state_machine const& state) const;

    /// Builds the answer and records the leases and start permits that it
    /// grants.
    ///
    /// @param now Time of the leader's clock.
    core::heartbeat_answer answer(core::heartbeat_request const& heartbeat,
                                  core::time_point now,
                                  state_machine const& state);

    /// Adds a throttle order for the attempt to every answer until its hold
    /// ends.
    /// @param cpu_permille Share of its reserved processor time in permille;
    /// 1000 ends the throttling.
    void set_throttle(core::held_task const& task, std::uint32_t cpu_permille);

    /// Adds a checkpoint order for the attempt to every answer until
    /// `end_checkpoint`.
    void request_checkpoint(core::held_task const& task);
    void end_checkpoint(core::held_task const& task);

    /// Removes the throttle and checkpoint requests of an attempt whose hold
    /// has ended.
    void clear_requests(core::held_task const& task);

private:
    void answer_held_task(core::held_task const& task,
                          core::worker_id const& worker,
                          core::time_point now,
                          state_machine const& state,
                          core::heartbeat_answer& answer);
    void answer_missing_task(core::job_record const& job,
                             core::heartbeat_request const& heartbeat,
                             core::time_point now,
                             state_machine const& state,
                             core::heartbeat_answer& answer);
    void add_start(core::job_record const& job,
                   core::zone_id const& zone,
                   core::time_point now,
                   core::heartbeat_answer& answer);
    void add_pending_requests(core::held_task const& task,
                              core::heartbeat_answer& answer) const;

    lease_table& m_leases;
    std::map<core::held_task, std::uint32_t> m_throttle_permille;
    std::set<core::held_task> m_checkpoint_requests;
};

} // namespace turmericswitch::cluster_state

#endif
