#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PREEMPTION_PLANNER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PREEMPTION_PLANNER_HPP

#include "overload/overload.hpp"
#include "workflow/dispatch/job_accounts.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// A run to evict so that a waiting task gets its place.
struct preemption
{
    core::worker_id worker;
    overload::eviction_candidate victim;
    stage_ref claimant;
};

/// Chooses running tasks to evict for waiting ones that would lose far more.
///
/// At intervals it takes the first waiting stages that have found no place, and
/// searches for each the worker on which the cheapest victims make enough room.
/// The number of victims of a search is bounded, and a stage gets no further
/// ones until the last ones have ended.
class preemption_planner
{
public:
    struct planner_hooks
    {
        /// Since when the stage has had unplaced tasks.
        std::function<std::optional<core::time_point>(stage_ref const&)>
            waiting_since;
        /// Pace of a best-effort task in percent.
        std::function<std::uint32_t(core::worker_id const&,
                                    core::task_run const&)>
            pace;
        /// True if the run is not being evicted.
        std::function<bool(core::task_run const&)> is_evictable;
        tail_hook tail;
    };

    /// The references must outlive the object.
    preemption_planner(workflow_table const& table,
                       worker_fleet const& fleet,
                       job_accounts const& accounts,
                       planner_hooks hooks);

    /// @param waiting Stages with unplaced tasks.
    /// @param placed Placements of the present plan.
    /// @param workers The workers after this plan.
    std::vector<preemption> plan(core::time_point now,
                                 std::vector<pending_stage const*> waiting,
                                 std::vector<core::run_placement> const& placed,
                                 std::vector<candidate_worker*> const& workers);

private:
    struct saved_state
    {
        core::checkpoint_id checkpoint;
        core::time_point since;
    };

    void observe_checkpoints(core::time_point now);
    void drop_ended();
    bool is_served(stage_ref const& claimant) const;
    std::vector<overload::eviction_candidate>
    candidates_on(core::time_point now, core::worker_id const& worker) const;
    /// @return The victims on the worker that make room for one task of the
    ///         stage; empty if there are none.
    std::vector<overload::eviction_candidate>
    victims_on(core::time_point now,
               candidate_worker const& worker,
               pending_stage const& claimant) const;
    std::vector<preemption>
    plan_for(core::time_point now,
             pending_stage const& claimant,
             std::vector<candidate_worker*> const& workers) const;

    workflow_table const& m_table;
    worker_fleet const& m_fleet;
    job_accounts const& m_accounts;
    planner_hooks m_hooks;
    core::time_point m_next_search;
    /// Last known checkpoint of each running run that saves checkpoints.
    std::map<core::task_run, saved_state> m_saved;
    std::set<core::workflow_id> m_evicted;
    /// The stages for which runs are being evicted, by run.
    std::map<core::task_run, stage_ref> m_claims;
};

} // namespace turmericswitch::workflow

#endif
