#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCHER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCHER_HPP

#include "core/config/configuration.hpp"
#include "core/events/event.hpp"
#include "core/messages/workflow.hpp"
#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/order_reconciler.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/stage_backlog.hpp"
#include "workflow/dispatch/stage_planner.hpp"
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
    /// Longest time between two reports of a worker that works.
    core::duration report_interval = std::chrono::seconds(1);
    /// Longest time for which tasks on spare processor time may keep a serving
    /// task over its target.
    core::duration harm_limit = std::chrono::seconds(4);
};

/// Counts for operators: how much work waits and runs.
struct dispatch_counts
{
    std::uint64_t workers = 0;
    /// Workers that may get tasks now.
    std::uint64_t usable_workers = 0;
    std::uint64_t waiting_tasks = 0;
    core::duration longest_wait{};
    std::uint64_t held_runs = 0;
    /// Processors that no run is expected to use, on usable workers.
    core::millicores spare;
    /// What running tasks on spare time ask for, and what they got lately.
    core::millicores spare_wanted;
    core::millicores spare_used;
};

/// The leader's decisions on workflows: which tasks start where, which runs
/// end, and which orders each worker gets.
///
/// The caller commits what `plan` returns and reports it with `applied`, one
/// command at a time. Orders follow only from the committed table.
class dispatcher
{
public:
    /// @param fencing_token Higher than that of every earlier leader.
    /// @param on_event Takes decisions with the inputs that decided them.
    dispatcher(workflow_table const& table,
               dispatch_options options,
               std::uint64_t fencing_token,
               core::time_point elected,
               core::event_hook on_event);

    /// Takes a report of a sidecar.
    ///
    /// @return False if it speaks for an earlier life of the worker.
    bool report(core::time_point now, core::runtime_report report);

    /// @return True while ends that the worker listed aren't committed.
    bool has_uncommitted_ends(core::worker_id const& worker) const;

    /// Answers the last report of a worker and extends its lease. Leadership
    /// must have been confirmed since the report came.
    core::runtime_grant grant(core::worker_id const& worker,
                              core::incarnation life);

    /// Decides on ends and placements.
    ///
    /// @return What to commit, or nothing.
    std::optional<core::workflow_progress>
    plan(plan_times const& times, core::configuration const& config);

    /// Notes that a command was committed.
    void applied(core::time_point now, core::workflow_progress const& command);

    /// Notes which batch of orders a sidecar received last. After a lost one
    /// all orders are due again.
    void acknowledge_orders(core::worker_id const& worker, std::uint64_t batch);

    /// @return The orders that are due for a worker.
    core::runtime_orders take_orders(core::time_point now,
                                     core::worker_id const& worker,
                                     core::incarnation life);

    /// @return The state at the last plan.
    dispatch_counts counts(core::time_point now,
                           core::configuration const& config) const;

    worker_fleet const& fleet() const noexcept;
    std::uint64_t fencing_token() const noexcept;

private:
    void collect_ends(core::time_point now, core::workflow_progress& command);
    void collect_reported_ends(worker_view const& view,
                               core::workflow_progress& command) const;
    void collect_checkpoints(worker_view const& view,
                             core::workflow_progress& command) const;
    std::vector<candidate_worker>
    candidates(core::time_point now, core::configuration const& config) const;
    bool is_eligible(core::time_point now,
                     worker_view const& view,
                     core::configuration const& config) const;
    void evict_stalled(core::time_point now,
                       std::vector<candidate_worker> const& workers);
    tail_hook make_tail_hook() const;
    void update_colocation(core::time_point now, worker_view const& view);
    void record_run_time(core::time_point now,
                         core::run_outcome const& outcome);
    void record_end(core::time_point now, core::run_outcome const& outcome);
    void emit_run_placed(core::time_point now,
                         core::run_placement const& placed);
    void emit_lost_workers(core::time_point now,
                           core::workflow_progress const& command) const;

    workflow_table const& m_table;
    dispatch_options m_options;
    std::uint64_t m_fencing_token;
    worker_fleet m_fleet;
    worker_health m_health;
    colocation_controller m_colocation;
    run_time_model m_run_times;
    stage_backlog m_backlog;
    /// When the runs that this leader placed were placed.
    std::map<core::task_run, core::time_point> m_placed_at;
    order_reconciler m_orders;
    core::time_point m_next_eviction;
    core::event_hook m_on_event;
    /// Last batch of orders for each worker.
    std::map<core::worker_id, std::uint64_t> m_batches;
};

} // namespace turmericswitch::workflow

#endif
