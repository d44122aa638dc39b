#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CANDIDATE_POOL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CANDIDATE_POOL_HPP

#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// The remaining capacity of each worker, for the planner.
///
/// A worker is computed again only after its runs in the table or its report
/// changed, or after a plan has placed tasks on it.
class candidate_pool
{
public:
    /// Returns true for workers on which tasks may be placed now.
    using eligible_hook = std::function<bool(worker_view const&)>;

    /// The arguments must outlive the object.
    candidate_pool(workflow_table const& table,
                   worker_fleet const& fleet,
                   colocation_controller const& colocation);

    /// Must be called after a report of the worker, and after a plan that
    /// changed its candidate.
    void mark_changed(core::worker_id const& worker);

    /// @return The eligible workers in the order of their ids, up to date. The
    ///         planner may change them; those that it changed must be marked.
    std::vector<candidate_worker*> collect(core::time_point now,
                                           eligible_hook const& is_eligible);

    /// @return Number of workers that were computed so far.
    std::uint64_t computed_workers() const noexcept;

private:
    void update();
    void compute(worker_view const& view);
    /// Keeps capacity for the unanswered starts of runs that are not held any
    /// more. Only the worker's next incarnation can execute them, before it
    /// runs anything else: so they need capacity in place of the work at hand,
    /// not beside it.
    void keep_for_late_starts(worker_view const& view,
                              candidate_worker& worker) const;

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    colocation_controller const& m_colocation;
    change_log<core::worker_id>::position m_read =
        change_log<core::worker_id>::unread;
    std::set<core::worker_id> m_changed;
    std::map<core::worker_id, candidate_worker> m_candidates;
    std::uint64_t m_computed = 0;
};

} // namespace turmericswitch::workflow

#endif
