#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_BACKLOG_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_BACKLOG_HPP

#include "overload/order/job_ranking.hpp"
#include "workflow/dispatch/plan_times.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// The stages that have unplaced tasks, and how urgent they are.
///
/// Only the workflows that changed since the last call of `collect` are
/// examined again, so the cost follows the number of changes and of waiting
/// stages, not the number of running workflows.
class stage_backlog
{
public:
    /// Returns a job's rank, or null if it has none.
    using rank_hook =
        std::function<overload::job_rank const*(core::workflow_id const&)>;

    /// The arguments must outlive the object.
    stage_backlog(workflow_table const& table,
                  run_time_model const& run_times,
                  worker_fleet const& fleet);

    /// Derives urgency and order of the stages from the ranks of their jobs.
    void order_by(rank_hook rank);

    /// @return The stages that are ready and have unplaced tasks. They are
    ///         valid until the next call or the next change of the table.
    std::vector<pending_stage const*> collect(plan_times const& times);

    /// @return Since when the stage has had unplaced tasks; `nullopt` if it had
    ///         none at the last call of `collect`.
    std::optional<core::time_point> waiting_since(stage_ref const& stage) const;

    /// @return Number of unplaced tasks at the last call of `collect`.
    std::uint64_t waiting_tasks() const noexcept;

    /// @param cluster_now On the clock of the replicated state.
    /// @return Longest time for which a task has waited, also under earlier
    ///         leaders.
    core::duration longest_wait(core::time_point cluster_now) const;

    /// @return True if an occurrence of a workflow became due since the last
    ///         call of `collect`.
    bool is_occurrence_due(core::wall_time wall) const noexcept;

    /// @return Number of workflows that were examined so far.
    std::uint64_t examined_workflows() const noexcept;

private:
    struct waiting_stage
    {
        pending_stage pending;
        core::time_point since;
        /// Workers of the placed tasks, if the stage prefers one rack.
        std::set<core::worker_id> placed_on;
    };

    using waiting_stages = std::vector<waiting_stage>;

    void examine(core::workflow_id const& id, plan_times const& times);
    void examine_changed(plan_times const& times);
    void examine_due(plan_times const& times);
    void replace(core::workflow_id const& id, waiting_stages stages);
    job_urgency urgency_of(core::time_point cluster_now,
                           core::workflow_record const& workflow,
                           std::uint32_t occurrence) const;
    void add_stages(plan_times const& times,
                    core::workflow_record const& workflow,
                    std::uint32_t occurrence,
                    waiting_stages& all) const;
    void add_tasks(core::workflow_record const& workflow,
                   std::uint32_t occurrence,
                   std::uint32_t number,
                   waiting_stage& waiting) const;
    core::time_point find_unplaced_since(plan_times const& times,
                                         core::workflow_record const& workflow,
                                         waiting_stage const& waiting) const;
    void update(core::time_point cluster_now, waiting_stage& waiting) const;

    workflow_table const& m_table;
    run_time_model const& m_run_times;
    worker_fleet const& m_fleet;
    /// Empty if the stages are ordered by age.
    rank_hook m_rank;
    change_log<core::workflow_id>::position m_read =
        change_log<core::workflow_id>::unread;
    /// Workflows that have waiting stages.
    std::map<core::workflow_id, waiting_stages> m_waiting;
    /// When the next occurrence of each workflow with a schedule is due.
    std::map<core::workflow_id, core::wall_time> m_next_occurrences;
    core::wall_time m_earliest_occurrence = core::wall_time::max();
    core::wall_time m_collected_at;
    std::uint64_t m_waiting_tasks = 0;
    std::uint64_t m_examined = 0;
};

} // namespace turmericswitch::workflow

#endif
