#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_BACKLOG_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_BACKLOG_HPP

#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// The time of one plan on each clock that it needs.
struct plan_times
{
    /// This process's steady clock.
    core::time_point now;
    /// Clock of the replicated state, on which submission times are recorded.
    core::time_point cluster;
    /// Time of day, for workflows with a schedule.
    core::wall_time wall;
};

/// Finds the stages that have unplaced tasks, and how urgent they are.
class stage_backlog
{
public:
    /// The arguments must outlive the object.
    stage_backlog(workflow_table const& table,
                  run_time_model const& run_times,
                  worker_fleet const& fleet);

    /// @return The stages that are ready and have unplaced tasks.
    std::vector<pending_stage> collect(plan_times const& times);

    /// @return Since when the stage has had unplaced tasks; `nullopt` if it had
    ///         none at the last call of `collect`.
    std::optional<core::time_point> waiting_since(stage_ref const& stage) const;

    /// @return Number of unplaced tasks at the last call of `collect`.
    std::uint64_t waiting_tasks() const noexcept;

    /// @return Longest time for which a stage has had unplaced tasks.
    core::duration longest_wait(core::time_point now) const;

private:
    job_urgency urgency_of(core::time_point cluster_now,
                           core::workflow_record const& workflow,
                           std::uint32_t occurrence) const;
    void add_stages(core::time_point cluster_now,
                    core::workflow_record const& workflow,
                    std::uint32_t occurrence,
                    std::vector<pending_stage>& all) const;
    void add_tasks(core::workflow_record const& workflow,
                   std::uint32_t occurrence,
                   std::uint32_t number,
                   pending_stage& waiting) const;
    void update_waiting(core::time_point now,
                        std::vector<pending_stage> const& waiting);

    workflow_table const& m_table;
    run_time_model const& m_run_times;
    worker_fleet const& m_fleet;
    std::map<stage_ref, core::time_point> m_waiting_since;
    std::uint64_t m_waiting_tasks = 0;
};

} // namespace turmericswitch::workflow

#endif
