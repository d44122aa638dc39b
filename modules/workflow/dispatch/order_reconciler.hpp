#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_ORDER_RECONCILER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_ORDER_RECONCILER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// Derives the orders for a worker from the difference between the runs that
/// the table places there and the runs that the worker reports.
///
/// Orders are sent again until the worker's lists show their effect, so lost
/// orders, restarted sidecars and new leaders need no special handling.
class order_reconciler
{
public:
    /// Returns the pace of a best-effort task in percent.
    using pace_hook = std::function<std::uint32_t(core::task_run const&)>;

    explicit order_reconciler(workflow_table const& table);

    /// @return The orders that are due now; they count as sent.
    core::runtime_orders take_due(core::time_point now,
                                  worker_view const& worker,
                                  pace_hook const& pace);

    /// Sends stops for a run until it has ended, so that its task can resume
    /// elsewhere from its checkpoint.
    void evict(core::task_run const& run);

    /// @return Runs that are being evicted.
    std::set<core::task_run> const& evicting() const noexcept;

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
    };

    void add_starts(core::time_point now,
                    worker_view const& worker,
                    sent_state& sent,
                    core::runtime_orders& orders);
    void add_start(core::task_run const& run,
                   worker_view const& worker,
                   core::runtime_orders& orders) const;
    void add_stops(core::time_point now,
                   worker_view const& worker,
                   sent_state& sent,
                   core::runtime_orders& orders);
    void add_paces(core::time_point now,
                   worker_view const& worker,
                   pace_hook const& pace,
                   sent_state& sent,
                   core::runtime_orders& orders) const;
    bool should_run(core::task_run const& run, worker_view const& worker) const;

    workflow_table const& m_table;
    std::map<core::worker_id, sent_state> m_sent;
    std::set<core::task_run> m_evicting;
};

} // namespace turmericswitch::workflow

#endif
