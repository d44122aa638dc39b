#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP

#include "core/messages/workflow.hpp"

#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Quarantines workers on which tasks fail, and distinguishes them from
/// workflows that fail on any worker.
///
/// A worker is quarantined after consecutive failures of tasks of several
/// workflows, or after several consecutive refused starts. When the quarantine
/// ends the worker gets tasks again; one more failure quarantines it for twice
/// as long. During the quarantine the worker gets long-running tasks for which
/// no other worker has room, at a limited rate.
class worker_health
{
public:
    /// Counts the end of a run for its worker.
    void record_end(core::time_point now,
                    core::worker_id const& worker,
                    core::task_run const& run,
                    core::run_end how);

    /// @return True while only trials may be placed on the worker.
    bool is_quarantined(core::time_point now,
                        core::worker_id const& worker) const;

    /// @return True if a quarantined worker may get one long-running task now.
    ///         Such tasks have no limit of attempts, and the worker may be the
    ///         only one with room for them.
    bool is_trial_due(core::time_point now,
                      core::worker_id const& worker) const;

    /// Must be called when a task was placed on a quarantined worker.
    void record_trial(core::time_point now, core::worker_id const& worker);

    /// Forgets the history of a worker, for example after its restart.
    void forget(core::worker_id const& worker);

private:
    struct history
    {
        /// Workflows whose tasks failed since the last success.
        std::vector<core::workflow_id> failed;
        /// Starts that were refused since the last success.
        std::size_t refusals = 0;
        /// End of the quarantine.
        core::time_point quarantined_until;
        /// Length of the last quarantine.
        core::duration quarantine{};
        /// When the next task may be placed during the quarantine.
        core::time_point next_trial;
    };

    std::map<core::worker_id, history> m_workers;
};

} // namespace turmericswitch::workflow

#endif
