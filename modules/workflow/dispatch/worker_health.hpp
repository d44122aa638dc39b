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
/// as long.
class worker_health
{
public:
    /// Counts the end of a run for its worker.
    void record_end(core::time_point now,
                    core::worker_id const& worker,
                    core::task_run const& run,
                    core::run_end how);

    /// @return True while no task may be placed on the worker.
    bool is_quarantined(core::time_point now,
                        core::worker_id const& worker) const;

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
    };

    std::map<core::worker_id, history> m_workers;
};

} // namespace turmericswitch::workflow

#endif
