#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_ORDER_RECONCILER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_ORDER_RECONCILER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::workflow
{

/// Derives the orders for a worker from the difference between the runs that
/// the table places there and the runs that the worker reports.
///
/// Orders are sent again until the worker's lists show their effect, so lost
/// orders, restarted sidecars and new leaders need no special handling.
///
/// No start is sent while the reservations on the worker exceed its capacity,
/// which may shrink after a placement. Starts in excess are withdrawn: the
/// worker keeps a tombstone, and the task is placed again when the run is
/// reported as refused. Running work is never stopped for this.
///
/// Orders can become due only for a worker that reported, whose runs in the
/// table changed, or to which orders must be sent again; `due_workers` names
/// these.
class order_reconciler
{
public:
    /// Returns the pace of a best-effort task in percent.
    using pace_hook = std::function<std::uint32_t(core::task_run const&)>;

    /// Returns true if the start of a run that must not be called while an
    /// earlier call may still be executed may be called now.
    using call_hook = std::function<bool(core::task_run const&)>;

    explicit order_reconciler(workflow_table const& table);

    /// Must be called after a report of the worker.
    void mark_changed(core::worker_id const& worker);

    /// @return Workers for which orders may have become due since the last
    ///         call.
    std::set<core::worker_id> due_workers(core::time_point now);

    /// @param may_start False if nothing may start on the worker: it drains, or
    ///        its zone is out of service. Runs that have not begun are then
    ///        withdrawn.
    /// @return The orders that are due now; they count as sent.
    core::runtime_orders take_due(core::time_point now,
                                  worker_view const& worker,
                                  bool may_start,
                                  call_hook const& may_call,
                                  pace_hook const& pace);

    /// Sends stops for a run until it has ended, so that its task can resume
    /// elsewhere from its checkpoint.
    void evict(core::worker_id const& worker, core::task_run const& run);

    /// @return Runs that are being evicted.
    std::set<core::task_run> const& evicting() const noexcept;

    /// @return Runs that were withdrawn since the last call, because their
    ///         worker's capacity has shrunk or nothing may start there.
    std::vector<core::task_run> take_withdrawn();

    /// Must be called before these ends are committed. Until they are, or until
    /// the next call, no start is sent for their runs: a report of a restarted
    /// sidecar no longer has the refusals that the one before has reported.
    void set_ending(std::vector<core::run_outcome> const& ends);

    /// Must be called after the end of a run was committed.
    void ended(core::task_run const& run);

    /// Forgets which orders were sent to a worker, so that they are due again.
    /// Needed after a restart of the sidecar or the worker and after a lost
    /// batch.
    void forget(core::worker_id const& worker);

private:
    struct sent_pace
    {
        std::uint32_t percent = 100;
        core::time_point sent;
    };

    struct sent_state
    {
        std::map<core::task_run, core::time_point> starts;
        std::map<core::task_run, core::time_point> stops;
        std::map<core::task_run, sent_pace> paces;
        /// False until the first paces were sent: the worker may still apply
        /// paces that this leader does not know.
        bool has_sent_paces = false;
        /// When orders must be sent again at the earliest.
        std::optional<core::time_point> repeat_at;
    };

    /// A run that the table places on the worker or that the worker lists.
    struct observed_run
    {
        core::task_run const* run = nullptr;
        /// Null if the workflow is unknown or its details were dropped.
        core::stage_description const* stage = nullptr;
        bool is_running = false;
        /// True if the table places the run there, neither its workflow nor the
        /// task's other run has ended, and it is not being evicted.
        bool should_run = false;
        /// True if the worker reported its end or it is being committed, so it
        /// needs no capacity.
        bool has_ended = false;
    };

    /// @return True if the task is done, so that its remaining run is stopped.
    static bool is_other_run_done(core::workflow_record const& workflow,
                                  observed_run const& seen);
    std::vector<observed_run> observe(worker_view const& worker) const;
    /// @return What the runs reserve that have not ended.
    static core::resources
    reserved_by_all(std::vector<observed_run> const& runs);
    /// @return True if the worker runs a task of a job that has ended, of which
    ///         the table doesn't tell the need.
    static bool has_unknown_need(worker_view const& worker,
                                 std::vector<observed_run> const& runs);
    /// Withdraws starts until the runs that stay fit the worker's capacity.
    ///
    /// Starts that were sent a short time ago are left alone: the worker may
    /// have executed them although it does not list them yet.
    void withdraw_excess(core::time_point now,
                         worker_view const& worker,
                         std::vector<observed_run>& runs,
                         sent_state const& sent);
    void withdraw(core::worker_id const& worker, observed_run const& seen);
    /// @return True if the start of `a` is withdrawn before that of `b`: lower
    ///         priority first, then the later workflow.
    bool yields_to(observed_run const* a, observed_run const* b) const;
    static void remove_finished(std::vector<observed_run> const& runs,
                                sent_state& sent);
    void add_start(core::task_run const& run,
                   core::stage_description const& stage,
                   worker_view const& worker,
                   core::runtime_orders& orders) const;
    static bool is_pace_due(core::time_point now,
                            core::task_run const& run,
                            std::uint32_t wanted,
                            sent_state& sent);
    void schedule_repeat(core::worker_id const& worker,
                         std::optional<core::time_point> at);

    workflow_table const& m_table;
    std::map<core::worker_id, sent_state> m_sent;
    std::set<core::task_run> m_evicting;
    /// Runs whose ends are being committed.
    std::set<core::task_run> m_ending;
    std::vector<core::task_run> m_withdrawn;
    change_log<core::worker_id>::position m_read =
        change_log<core::worker_id>::unread;
    std::set<core::worker_id> m_changed;
    /// The workers with `repeat_at`, by that time.
    std::set<std::pair<core::time_point, core::worker_id>> m_repeats;
};

} // namespace turmericswitch::workflow

#endif
