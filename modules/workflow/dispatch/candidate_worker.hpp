#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CANDIDATE_WORKER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CANDIDATE_WORKER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/interference_model.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// Identifies a stage of one occurrence of a workflow.
struct stage_ref
{
    core::workflow_id workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;

    auto operator<=>(stage_ref const&) const = default;
};

/// @return `workflow.occurrence.stage`, the form used in logs.
std::string to_string(stage_ref const& stage);

/// @return The stage that the task belongs to.
stage_ref stage_of(core::task_ref const& task);

/// How a task is placed after workers have crashed under it.
enum class crash_suspicion : std::uint8_t
{
    none,
    /// One worker crashed: the task avoids workers with other such tasks, so
    /// that a further crash has few suspects.
    spread,
    /// Several workers crashed: until the task is established, it shares its
    /// worker with no other workflow's runs that are not established. So a
    /// further crash has one suspect.
    isolated,
    /// The task has waited for too long to be isolated: as with `spread`, but
    /// on a worker that has run for long enough.
    overdue,
};

/// @return The suspicion of a task under which this many workers crashed, if
///         it is not overdue.
crash_suspicion suspicion_after(std::uint32_t crashes) noexcept;

/// Capacity of a worker that is kept for tasks of one stage.
struct held_capacity
{
    stage_ref stage;
    core::resources need;
    /// Stages with a better priority may use the capacity; 0 if none may.
    std::uint32_t priority = 0;
};

/// A worker on which tasks may be placed, with its remaining capacity.
struct candidate_worker
{
    core::worker_id worker;
    core::incarnation life;
    core::service_id service;
    core::rack_id rack;
    core::zone_id zone;
    std::vector<std::string> labels;
    core::resources capacity;
    /// Capacity minus the reservations of all runs that start, run or stop
    /// there.
    core::resources free;
    /// Reservations of long-running tasks.
    core::resources long_running;
    /// CPU that no task is expected to use. Serving tasks count with their
    /// estimated use, slowed tasks with their pace.
    core::millicores spare;
    /// Estimated CPU use of serving tasks in percent of their requests.
    std::int64_t serving_use_percent = 100;
    /// True while a serving task has been over its target for too long; then no
    /// best-effort task starts there.
    bool closed_to_best_effort = false;
    /// True while the worker is quarantined. Then it gets only long-running
    /// tasks for which no other worker has room.
    bool is_trial = false;
    /// False while the worker hasn't run for long enough to get isolated tasks.
    bool is_steady = true;
    /// Number of tasks that a quarantined worker may still get.
    std::uint32_t trials_left = 0;
    /// CPU that best-effort tasks are expected to use in excess of the last
    /// report, because they were placed or sped up since.
    cpu_by_image planned;
    /// Number of serving tasks, which have a latency target.
    std::uint32_t serving = 0;
    /// Number of serving tasks by image.
    std::map<std::string, std::uint32_t> serving_images;
    /// Number of best-effort tasks, which use spare CPU.
    std::uint32_t best_effort = 0;
    /// Number of best-effort tasks by image.
    std::map<std::string, std::uint32_t> best_effort_images;
    /// Number of tasks by stage, for long-running stages and those with a limit
    /// per worker.
    std::map<stage_ref, std::uint32_t> per_stage;
    /// Number of runs there.
    std::uint32_t runs = 0;
    /// Number of runs that are not established, by workflow.
    std::map<core::workflow_id, std::uint32_t> not_established;
    /// Workflows with a suspected run that is not established.
    std::set<core::workflow_id> suspects;
    /// The workflow whose isolated task runs there, or waits for the worker;
    /// empty if there is none. No other workflow's task starts there.
    core::workflow_id isolated_for;
    /// Capacity that the current plan keeps.
    std::optional<held_capacity> held;

    /// Accounts for a placed run of the stage.
    ///
    /// @param pace Pace in percent of full speed; a slowed task leaves the rest
    ///        of its CPU to others.
    void add(stage_ref const& stage,
             core::stage_description const& description,
             std::uint32_t pace = 100);

    /// Accounts for a run that the current plan places on the worker.
    void add_planned(stage_ref const& stage,
                     core::stage_description const& description);

    /// Accounts for a run that is not established.
    void add_not_established(core::workflow_id const& workflow,
                             crash_suspicion suspicion);

    /// @return True if an isolated task of another workflow runs there or
    ///         waits for the worker.
    bool is_isolated_for_other(core::workflow_id const& workflow) const;

    /// @return True if a task with this need would delay the start of the
    ///         stage for which capacity is kept there.
    bool is_held_for_other(stage_ref const& stage,
                           std::uint32_t priority,
                           core::resources const& need) const;

    /// @return True if all runs there that are not established belong to the
    ///         workflow, which fails as a whole if one of its tasks does.
    bool has_no_new_run_of_others(core::workflow_id const& workflow) const;
};

/// @return Capacity that one task of the stage reserves; best-effort tasks
///         reserve no CPU.
core::resources reserved_by(core::stage_description const& stage);

} // namespace turmericswitch::workflow

#endif
