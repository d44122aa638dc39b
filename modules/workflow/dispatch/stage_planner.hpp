#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLANNER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_STAGE_PLANNER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/interference_model.hpp"

#include <functional>
#include <map>
#include <set>
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

/// @return The stage that the task belongs to.
stage_ref stage_of(core::task_ref const& task);

/// Whether a workflow is expected to meet its objective.
enum class job_urgency : std::uint8_t
{
    on_time,
    late,
    /// So late that its result is no longer useful to the caller.
    too_late,
};

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
};

/// @return The suspicion of a task under which this many workers crashed.
crash_suspicion suspicion_after(std::uint32_t crashes) noexcept;

/// A worker on which tasks may be placed, with its remaining capacity.
struct candidate_worker
{
    core::worker_id worker;
    core::incarnation life;
    core::service_id service;
    core::rack_id rack;
    std::vector<std::string> labels;
    core::resources capacity;
    /// Capacity minus the reservations of all runs that start, run or stop
    /// there.
    core::resources free;
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
    /// Number of tasks by stage, for stages with a limit per worker.
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
};

/// Unplaced tasks of one stage.
struct pending_stage
{
    stage_ref stage;
    core::stage_description const* description = nullptr;
    core::service_id service;
    std::uint32_t priority = 0;
    job_urgency urgency = job_urgency::on_time;
    /// Place of the job among those of its urgency and priority; of equal ones
    /// the oldest comes first.
    std::uint64_t rank = 0;
    core::time_point submitted;
    /// The next attempt of each task.
    std::vector<core::task_run> runs;
    /// Suspicion of the tasks; `none` for those that are not listed.
    std::map<core::task_run, crash_suspicion> suspected;
    /// Workers on which the tasks have failed.
    std::set<core::worker_id> failed_on;
    /// Racks of the stage's placed tasks.
    std::set<core::rack_id> racks;
};

/// Predicts the worst tail latency on a worker, as a multiple of its target,
/// with additional CPU use by image.
using tail_hook = std::function<double(core::worker_id const& worker,
                                       cpu_by_image const& added)>;

/// @return Capacity that one task of the stage reserves; best-effort tasks
///         reserve no CPU.
core::resources reserved_by(core::stage_description const& stage);

/// Chooses workers for unplaced tasks.
///
/// Stages are ordered by urgency, priority, rank, and age. A task goes to the
/// worker that is left with the largest free share, so that load stays even and
/// a task that uses more than its request affects few others. Distant racks,
/// earlier failures and interference between tasks lower the score of a worker.
/// Serving tasks prefer workers with other tasks of their image: each serving
/// image tolerates only some of the best-effort images, so a worker with one
/// serving image can take more of them than one with several. The members of a
/// gang are placed together or not at all.
///
/// Stages with isolated tasks come first. If one finds no worker without other
/// runs that are not established, a worker is closed to other workflows, so
/// that the task does not wait for ever on a fleet where tasks start all the
/// time.
///
/// A stage scores each worker once, and again only after a task was placed
/// there, so its cost grows with the number of workers plus the number of its
/// tasks.
///
/// @param candidates Updated with the placements.
/// @param max_tasks Maximum number of tasks to place.
std::vector<core::run_placement>
plan_stages(std::vector<pending_stage const*> pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail);

} // namespace turmericswitch::workflow

#endif
