#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_COPY_PLANNER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_COPY_PLANNER_HPP

#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::workflow
{

/// Speculative execution: second runs of tasks whose stages allow it.
struct copy_options
{
    bool enabled = false;
};

/// Why a run gets a copy.
enum class copy_reason
{
    /// The worker does not answer its sidecar.
    silent,
    /// The sidecar's reports stay away.
    not_reporting,
    /// This leader has had no report of the worker since its election.
    not_seen,
    /// The run takes much longer than others of its kind.
    behind,
};

std::string_view to_string(copy_reason why);

/// Tasks of one stage that need copies for the same reason, all with their run
/// on the same worker.
struct copy_candidates
{
    pending_stage pending;
    core::worker_id worker;
    copy_reason why = copy_reason::silent;
};

struct copy_decision
{
    core::run_placement placement;
    /// Worker of the run that is copied.
    core::worker_id of;
    copy_reason why = copy_reason::silent;
};

/// Decides which runs get a copy and where.
///
/// The state of copies is in the workflow table, which keeps both runs. What is
/// kept here, the learned run times and since when runs are held, is relearned
/// by each leader.
class copy_planner
{
public:
    /// The references must outlive the object.
    ///
    /// @param report_interval Longest time between two reports of a healthy
    ///        worker.
    copy_planner(copy_options options,
                 workflow_table const& table,
                 worker_fleet const& fleet,
                 core::duration report_interval,
                 core::time_point elected);

    /// Searches all runs that may be copied, at most every 100 ms.
    ///
    /// @return Runs that need a copy; none between two searches.
    std::vector<copy_candidates> collect(core::time_point now);

    /// @param workers Candidates with the capacity that waiting tasks have
    ///        left; updated with the copies.
    /// @param max_copies Maximum number of copies.
    static std::vector<copy_decision>
    place(std::vector<copy_candidates> const& wanted,
          std::vector<candidate_worker*> const& workers,
          std::size_t max_copies,
          tail_hook const& tail);

    /// Must be called after the end of a run was committed. Learns from runs
    /// that ended `done`.
    void ended(core::time_point now, core::run_outcome const& outcome);

private:
    struct seen_run
    {
        core::time_point since;
        /// Runs of one kind are expected to take equal times.
        std::string kind;
        /// False for a run that an earlier leader may have placed.
        bool is_start_known = false;
    };

    /// In seconds, with exponential decay.
    struct run_times
    {
        double mean = 0;
        double deviation = 0;
        double weight = 0;
    };

    using groups =
        std::map<std::pair<stage_ref, core::worker_id>, copy_candidates>;

    void update_workflows();
    void examine(core::time_point now,
                 core::workflow_record const& workflow,
                 groups& found);
    void examine(core::time_point now,
                 core::workflow_record const& workflow,
                 core::stage_record const& stage,
                 std::size_t position,
                 groups& found);
    /// Records since when the run is held.
    void see(core::time_point now,
             core::task_run const& run,
             core::workflow_record const& workflow,
             core::stage_description const& stage);
    std::optional<copy_reason> reason(core::time_point now,
                                      core::task_run const& run,
                                      core::task_attempt const& held) const;
    bool is_behind(core::time_point now, core::task_run const& run) const;

    copy_options m_options;
    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    core::duration m_report_interval;
    core::time_point m_elected;
    core::time_point m_next_search;
    bool m_has_searched = false;
    change_log<core::workflow_id>::position m_read =
        change_log<core::workflow_id>::unread;
    /// Workflows that have not ended and have a stage that may be copied.
    std::set<core::workflow_id> m_workflows;
    std::map<core::task_run, seen_run> m_runs;
    std::map<std::string, run_times> m_times;
};

} // namespace turmericswitch::workflow

#endif
