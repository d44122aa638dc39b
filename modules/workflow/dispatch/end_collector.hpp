#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_END_COLLECTOR_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_END_COLLECTOR_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/unseen_ends.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// Finds the ends and checkpoints of runs that must be committed.
///
/// A worker is searched once after each of its reports. All workers are
/// searched for expired leases at an interval.
class end_collector
{
public:
    /// The arguments must outlive the object.
    end_collector(workflow_table const& table, worker_fleet& fleet);

    /// Must be called after a report of the worker.
    ///
    /// @param replaces_others True if the report shows that runs of earlier
    ///        incarnations or of other workers on the instance have ended.
    void reported(core::worker_id const& worker, bool replaces_others);

    /// Adds ends and checkpoints that are not committed yet.
    void collect(core::time_point now, core::workflow_progress& command);

    /// Must be called after a collected command was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// Must be called if a collected command was not committed.
    void rejected(core::workflow_progress const& command);

    /// @return True while ends in the worker's last report are not committed.
    bool has_uncommitted_ends(worker_view const& view) const;

    /// @return True while the end, of the worker's last report, must not be
    ///         acknowledged: it is not committed, or waits for the end of a
    ///         later run of its task or of the other members of its gang.
    bool is_open(core::ended_run const& ended,
                 core::worker_id const& worker) const;

    /// @return The later run of the task, which is placed and not known to have
    ///         begun, if `ended` is the end `done` of a run that was taken for
    ///         ended before. It must not begin any more.
    std::optional<core::run_placement>
    find_needless_run(core::ended_run const& ended) const;

private:
    /// @return True while the end is that of a gang whose other members have
    ///         not ended.
    bool waits_for_gang(core::ended_run const& ended) const;
    /// @return True while the end can be committed and is not.
    bool is_uncommitted(core::ended_run const& ended,
                        core::worker_id const& worker) const;
    /// The incarnation may have executed starts that were meant for an earlier
    /// one, so its ends count for runs on all of them.
    void collect_reported_ends(worker_view const& view,
                               core::workflow_progress& command);
    /// Adds workflows of which the worker lists a task for the first time.
    void collect_begun(worker_view& view,
                       core::workflow_progress& command) const;
    /// @return The end of a run that ended with its worker.
    core::run_outcome lost_run(core::worker_id const& worker,
                               held_run const& held) const;
    void collect_lost(core::time_point now,
                      core::workflow_progress& command) const;
    /// Adds what became known of runs that ended as `suspected`.
    void collect_resolved(core::time_point now,
                          core::workflow_progress& command) const;
    void collect_checkpoints(core::time_point now,
                             worker_view const& view,
                             core::workflow_progress& command) const;
    bool is_checkpoint_due(core::time_point now,
                           core::running_task const& seen) const;

    workflow_table const& m_table;
    worker_fleet& m_fleet;
    unseen_ends m_unseen_ends;
    /// Workers that reported since the last search for ends.
    std::set<core::worker_id> m_reported;
    /// Workers with late ends of gangs of which other members have not ended.
    std::set<core::worker_id> m_waiting;
    /// Workers that reported since the last search for checkpoints.
    std::set<core::worker_id> m_unsaved;
    core::time_point m_next_scan;
    /// When the last checkpoint of each run, or its placement, was committed.
    std::map<core::task_run, core::time_point> m_saved_at;
};

} // namespace turmericswitch::workflow

#endif
