#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCHER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCHER_HPP

#include "core/config/configuration.hpp"
#include "core/events/event.hpp"
#include "core/messages/workflow.hpp"
#include "workflow/dispatch/backlog_trace.hpp"
#include "workflow/dispatch/candidate_pool.hpp"
#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/copy_planner.hpp"
#include "workflow/dispatch/crash_backoff.hpp"
#include "workflow/dispatch/end_collector.hpp"
#include "workflow/dispatch/isolation_timeout.hpp"
#include "workflow/dispatch/job_accounts.hpp"
#include "workflow/dispatch/move_controller.hpp"
#include "workflow/dispatch/order_reconciler.hpp"
#include "workflow/dispatch/oversized_stages.hpp"
#include "workflow/dispatch/placement_options.hpp"
#include "workflow/dispatch/preemption_planner.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/speed_model.hpp"
#include "workflow/dispatch/stage_backlog.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/start_affinity.hpp"
#include "workflow/dispatch/wide_requests.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/dispatch/worker_health.hpp"
#include "workflow/table/workflow_table.hpp"

#include <optional>
#include <set>

namespace turmericswitch::workflow
{

struct dispatch_options
{
    lease_policy leases;
    /// Longest time between two reports of a healthy worker.
    core::duration report_interval = std::chrono::seconds(1);
    /// Longest time for which best-effort tasks may keep a serving task over
    /// its latency target.
    core::duration harm_limit = std::chrono::seconds(4);
    copy_options copies{};
    placement_options placement{};
    overload::overload_options overload{};
};

/// Amounts of waiting and running work, for operators.
struct dispatch_counts
{
    std::uint64_t workers = 0;
    /// Workers on which tasks may be placed now.
    std::uint64_t usable_workers = 0;
    std::uint64_t waiting_tasks = 0;
    /// Time for which the task that has waited longest is unplaced.
    core::duration longest_wait{};
    /// Waiting tasks by what held them back in the last plan.
    obstacle_counts held_back{};
    /// The stage of the task that has waited longest.
    std::optional<held_back_stage> longest;
    std::uint64_t held_runs = 0;
    /// CPU on usable workers that no run is expected to use.
    core::millicores spare;
    /// CPU that running best-effort tasks request.
    core::millicores spare_wanted;
    /// CPU that running best-effort tasks used in the last reports.
    core::millicores spare_used;
    /// How well the free capacity suits the largest request in the queue.
    fragmentation free;
    /// Waiting stages that fit on no worker, even on an empty one.
    std::uint64_t oversized_stages = 0;
};

/// The leader's decisions on workflows: task placements, ends of runs, and
/// orders to the workers.
///
/// The caller commits each command that `plan` returns and then passes it to
/// `applied`, one command at a time. Orders are derived only from the committed
/// table.
class dispatcher
{
public:
    /// @param term Higher than that of every earlier leader.
    /// @param on_event Receives decisions with their inputs.
    dispatcher(workflow_table const& table,
               dispatch_options options,
               core::term term,
               core::time_point elected,
               core::event_hook on_event);

    /// Handles a report of a sidecar.
    ///
    /// @return False if it is about an earlier incarnation of the worker.
    bool report(core::time_point now, core::runtime_report report);

    /// @return True while ends in the worker's last report are not committed.
    bool has_uncommitted_ends(core::worker_id const& worker) const;

    /// Answers the last report of a worker and extends its lease. The caller
    /// must have confirmed its leadership since the report arrived.
    core::runtime_grant grant(core::worker_id const& worker,
                              core::incarnation life);

    /// Decides which runs have ended and where waiting tasks are placed.
    ///
    /// @return The command to commit, or `nullopt` if nothing changes.
    std::optional<core::workflow_progress>
    plan(plan_times const& times, core::configuration const& config);

    /// Must be called after a command of `plan` was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// Must be called if a command of `plan` was not committed although this
    /// process still leads, so that its ends are collected again.
    void rejected(core::workflow_progress const& command);

    /// Decides whether a new workflow is accepted; logs a refusal.
    ///
    /// @param workflow As it would be recorded.
    /// @return The refusal, or `nullopt` if it is accepted.
    std::optional<overload::admission_decision>
    refusal(plan_times const& times, core::workflow_record const& workflow);

    /// Handles the number of the last batch of orders that a sidecar received.
    /// If a batch was lost, all orders are sent again.
    void acknowledge_orders(core::worker_id const& worker, std::uint64_t batch);

    /// @return Workers for which orders may have become due since the last
    ///         call.
    std::set<core::worker_id> workers_with_orders(core::time_point now);

    /// @param config In force now: nothing is started in a zone that is out of
    ///        service.
    /// @return The orders that are due for a worker; they count as sent.
    core::runtime_orders take_orders(core::time_point now,
                                     core::worker_id const& worker,
                                     core::incarnation life,
                                     core::configuration const& config);

    /// @return Counts; those of waiting tasks are as of the last `plan`.
    dispatch_counts counts(core::time_point now,
                           core::configuration const& config);

    worker_fleet const& fleet() const noexcept;
    core::term term() const noexcept;

private:
    std::vector<candidate_worker*>
    candidates(core::time_point now, core::configuration const& config);
    void place_tasks(plan_times const& times,
                     core::configuration const& config,
                     core::workflow_progress& command);
    bool is_reporting(core::time_point now, worker_view const& view) const;
    static bool is_evacuated(worker_view const& view,
                             core::configuration const& config);
    bool is_eligible(core::time_point now,
                     worker_view const& view,
                     core::configuration const& config) const;
    /// @return True if placements must be planned now; they count as planned.
    bool take_placement_due(plan_times const& times,
                            core::configuration const& config);
    /// Adds copies, where the waiting tasks leave capacity.
    void place_copies(std::vector<copy_candidates> const& wanted,
                      std::vector<candidate_worker*> const& workers,
                      core::workflow_progress& command);
    void evict_stalled(core::time_point now,
                       std::vector<candidate_worker*> const& workers);
    void preempt(core::time_point now,
                 std::vector<pending_stage const*> const& waiting,
                 std::vector<core::run_placement> const& placed,
                 std::vector<candidate_worker*> const& workers);
    preemption_planner::planner_hooks preemption_hooks() const;
    bool is_evictable(core::task_run const& run) const;
    tail_hook make_tail_hook() const;
    void move_next(core::time_point now);
    placement_policy make_policy(core::time_point now) const;
    /// Fills the placements that fit into a command.
    void plan_waiting(plan_times const& times,
                      std::vector<pending_stage const*> const& waiting,
                      std::vector<candidate_worker*> const& workers,
                      core::workflow_progress& command);
    std::vector<running_task_time> running_tasks(core::time_point now,
                                                 stage_ref const& stage) const;
    void report_oversized(core::time_point now,
                          std::vector<pending_stage const*> const& waiting);
    void rank_by_accounts();
    bool needs_accounts() const noexcept;
    void update_accounts(plan_times const& times);
    /// Acknowledges the ends in the worker's last report that are committed and
    /// that no start of their tasks can follow.
    void acknowledge_ends(worker_view const& view, core::runtime_grant& answer);
    /// Logs for how long ends were not acknowledged after their commit.
    void note_withheld(worker_view const& view,
                       core::runtime_grant const& answer);
    /// Marks the ends of runs with a start that may still be executed.
    void mark_unresolved(core::time_point now,
                         std::vector<core::run_outcome>& ends);
    /// @return Time after which all calls of the task to the run's worker were
    ///         made that it may still execute; `nullopt` if an earlier leader
    ///         placed the run, or an earlier run has left such a call.
    std::optional<core::time_point>
    first_call_after(core::run_placement const& run) const;
    /// @return True if the task must not be started elsewhere while the run's
    ///         worker may execute a start of it.
    bool must_stay_if_unresolved(core::run_outcome const& end) const;
    /// Stops the runs of tasks of which an earlier run is listed as done.
    void evict_needless_runs(worker_view const& view);
    /// Drops the refusals in a report that was made under another token than
    /// the granted one: it may be a late one of an earlier sidecar, and the
    /// present one may have begun the runs since. The sidecar repeats its own
    /// refusals until they are acknowledged.
    void drop_outdated_refusals(worker_view& view,
                                std::uint64_t refused_under) const;
    void update_colocation(core::time_point now, worker_view const& view);
    void observe_speeds(core::worker_id const& worker,
                        colocation_sample const& sample);
    void record_run_time(core::time_point now,
                         core::run_outcome const& outcome);
    void record_end(core::time_point now, core::run_outcome const& outcome);
    /// @return True if nobody saw how the run ended.
    bool is_end_assumed(core::run_outcome const& outcome) const;
    /// Names a task that several workers crashed under.
    void emit_isolated(core::run_outcome const& outcome) const;
    void emit_run_placed(core::time_point now,
                         core::run_placement const& placed);
    void emit_lost_workers(core::time_point now,
                           core::workflow_progress const& command) const;

    workflow_table const& m_table;
    dispatch_options m_options;
    core::term m_term;
    core::time_point m_elected;
    overload::admission_control m_admission;
    worker_fleet m_fleet;
    worker_health m_health;
    colocation_controller m_colocation;
    run_time_model m_run_times;
    speed_model m_speeds;
    job_accounts m_accounts;
    stage_backlog m_backlog;
    crash_backoff m_crash_backoff;
    isolation_timeout m_isolation_timeout{m_table};
    late_starts m_late_starts;
    start_affinity m_start_affinity;
    backlog_trace m_trace;
    /// Time of the last plan of placements.
    plan_times m_planned;
    candidate_pool m_candidates;
    wide_requests m_wide;
    oversized_stages m_oversized;
    move_controller m_moves;
    end_collector m_ends;
    copy_planner m_copies;
    /// When placements are planned although no workflow and no worker changed.
    core::time_point m_next_placement;
    bool m_placement_due = true;
    change_log<core::workflow_id>::position m_planned_changes =
        change_log<core::workflow_id>::unread;
    /// Zones out of service in the last plan of placements.
    std::vector<core::zone_id> m_evacuated;
    /// Placement times of the runs that this leader placed.
    std::map<core::task_run, core::time_point> m_placed_at;
    order_reconciler m_orders;
    preemption_planner m_preemption;
    core::time_point m_next_eviction;
    core::event_hook m_on_event;
    /// Ends that are committed and not acknowledged, by worker.
    std::map<core::worker_id, withheld_ends> m_withheld;
    /// Number of the last batch of orders for each worker.
    std::map<core::worker_id, std::uint64_t> m_batches;
};

} // namespace turmericswitch::workflow

#endif
