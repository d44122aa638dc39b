#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP

#include "core/messages/workflow.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::workflow
{

/// Quarantines workers on which tasks fail, and limits the starts on workers
/// that refuse some of them.
///
/// A worker is quarantined after consecutive failures of tasks of several
/// workflows. When the quarantine ends the worker gets tasks again; one more
/// failure quarantines it for twice as long. During the quarantine the worker
/// gets long-running tasks for which no other worker has room, at a limited
/// rate.
///
/// A worker that refuses starts gets fewer at once, by the share of its last
/// starts that it refused: as many as make one refusal likely. If it refuses
/// most of them, each further refusal is followed by a pause. Each start that
/// it executes raises the limit again.
class worker_health
{
public:
    /// Counts the end of a run for its worker.
    void record_end(core::time_point now,
                    core::worker_id const& worker,
                    core::task_run const& run,
                    core::run_end how);

    /// Counts a start that the worker has executed.
    void record_begun(core::worker_id const& worker);

    /// @return True while only trials may be placed on the worker: during a
    ///         quarantine or a pause.
    bool is_quarantined(core::time_point now,
                        core::worker_id const& worker) const;

    /// @return True if a quarantined worker may get one long-running task now.
    ///         Such tasks have no limit of attempts, and the worker may be the
    ///         only one with room for them.
    bool is_trial_due(core::time_point now,
                      core::worker_id const& worker) const;

    /// Must be called when a task was placed on a quarantined worker.
    void record_trial(core::time_point now, core::worker_id const& worker);

    /// @return Share of its last starts that the worker refused, from 0 to 1.
    double refused_share(core::worker_id const& worker) const;

    /// @return Number of starts that may be undecided at once on the worker, at
    ///         least 1; `nullopt` without a limit.
    std::optional<std::size_t>
    max_undecided_starts(core::worker_id const& worker) const;

    /// @return True while the worker is quarantined, or from when it refuses
    ///         most starts until it executes most of them.
    bool is_sick(core::time_point now, core::worker_id const& worker) const;

    /// Forgets the history of a worker, for example after its restart.
    void forget(core::worker_id const& worker);

private:
    struct history
    {
        /// Workflows whose tasks failed since the last success.
        std::vector<core::workflow_id> failed;
        /// End of the quarantine.
        core::time_point quarantined_until;
        /// Length of the last quarantine.
        core::duration quarantine{};
        /// When the next task may be placed during the quarantine.
        core::time_point next_trial;
        /// Share of refused starts, of which later ones count more.
        double refused = 0;
        bool refuses_most = false;
        core::time_point paused_until;
        /// Length of the last pause; zero if it executed a start since.
        core::duration pause{};
    };

    void record_refused(core::time_point now, history& record);
    static void record_failed(core::time_point now,
                              core::workflow_id const& workflow,
                              history& record);

    std::map<core::worker_id, history> m_workers;
};

} // namespace turmericswitch::workflow

#endif
