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

/// Derives the orders for a worker from what should and what does run there.
///
/// Orders are sent again until the worker's lists show their effect, so a lost
/// order, a restarted sidecar and a new leader need nothing special.
class order_reconciler
{
public:
    using pace_hook = std::function<std::uint32_t(core::task_run const&)>;

    explicit order_reconciler(workflow_table const& table);

    /// @param pace Share for a task on spare processor time, in percent.
    /// @return The orders that are due now; they count as sent.
    core::runtime_orders take_due(core::time_point now,
                                  worker_view const& worker,
                                  pace_hook const& pace);

    /// Has a run stopped until it has ended, so that its task can go on
    /// elsewhere from its checkpoint.
    void evict(core::task_run const& run);

    /// @return Runs that are being evicted.
    std::set<core::task_run> const& evicting() const noexcept;

    /// Notes that the end of a run is committed.
    void ended(core::task_run const& run);

    /// Forgets what was sent, because the sidecar has restarted or the worker
    /// has begun a new life.
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
        /// False until the paces of runs from before were sent.
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
