#ifndef TURMERICSWITCH_CONTROL_LEADER_PLANNER_SYNC_HPP
#define TURMERICSWITCH_CONTROL_LEADER_PLANNER_SYNC_HPP

#include "cluster_state/machine/state_machine.hpp"
#include "placement/placement.hpp"

#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::control
{

/// Keeps the placement planner up to date with the leader's replicated state.
///
/// Create one when a leadership begins; the constructor loads the whole state.
/// After every applied command it compares the jobs and workers that the
/// command names with what it last passed to the planner, and passes on the
/// difference. It has no I/O and reads no clock.
class planner_sync
{
public:
    /// @param state Must outlive this object.
    planner_sync(cluster_state::state_machine const& state,
                 placement::planner_options options,
                 core::time_point now);

    /// Call after a command was applied to the state.
    void applied(core::time_point now,
                 core::command_body const& command,
                 core::command_reply const& reply);

    /// Records a worker's heartbeat. Heartbeats of unregistered workers are
    /// ignored.
    void heartbeat_received(core::time_point now,
                            core::worker_id const& worker,
                            std::vector<core::usage_sample> const& usage);

    /// @return The planner's decisions, to be committed as one batch.
    placement::tick_decisions tick(core::time_point now, core::wall_time wall);

    /// Call when the batch of the last tick was not committed, so that the
    /// planner plans its jobs again.
    void batch_rejected(core::time_point now,
                        core::placement_batch const& batch);

    /// @return True while the last batch is neither applied nor rejected. Call
    /// `tick` only while it is false.
    bool has_pending_batch() const noexcept;

    /// @return Lost workers that hold no tasks and have sent no heartbeat for
    /// 10 minutes.
    std::vector<core::worker_id> workers_to_retire(core::time_point now) const;

    placement::planner_counts counts() const;

    /// @return The resources that the planner counts as reserved on the worker.
    core::resources reserved_on(core::worker_id const& worker) const;

private:
    /// State of a job as last passed to the planner.
    struct known_job
    {
        core::job_state state = core::job_state::queued;
        core::attempt_number attempt;
        bool has_hold = false;
        core::time_point checkpointed;
        std::uint32_t failures = 0;
    };

    struct known_worker
    {
        core::time_point last_heartbeat;
        bool is_lost = false;
    };

    void load(core::time_point now);
    void load_job(core::time_point now, core::job_record const& job);
    void sync_job(core::time_point now, core::job_id id);
    void sync_waiting(core::time_point now,
                      core::job_record const& job,
                      known_job const* known);
    void sync_held(core::time_point now,
                   core::job_record const& job,
                   known_job const& known);
    void sync_worker(core::time_point now, core::worker_id const& worker);
    void sync_zone_of(core::time_point now,
                      core::worker_description const& worker);
    void sync_configuration(core::time_point now);
    void sync_batch(core::time_point now, core::placement_batch const& batch);
    void end_job(core::time_point now, core::job_id id);
    void update_known(core::job_record const& job);
    void mark_lost_workers(core::time_point now);

    cluster_state::state_machine const& m_state;
    placement::planner m_planner;
    std::map<core::job_id, known_job> m_jobs;
    std::map<core::worker_id, known_worker> m_workers;
    core::revision m_revision;
    bool m_batch_pending = false;
};

} // namespace turmericswitch::control

#endif
