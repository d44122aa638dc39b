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

/// Names a stage of one occurrence of a workflow.
struct stage_ref
{
    core::workflow_id workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;

    auto operator<=>(stage_ref const&) const = default;
};

/// @return The stage that the task belongs to.
stage_ref stage_of(core::task_ref const& task);

/// How a workflow stands against its objective.
enum class job_urgency : std::uint8_t
{
    on_time,
    late,
    /// Too late to be of use to its caller.
    too_late,
};

/// A worker that may get tasks, with what its runs leave.
struct candidate_worker
{
    core::worker_id worker;
    core::incarnation life;
    core::service_id service;
    core::rack_id rack;
    std::vector<std::string> labels;
    core::resources capacity;
    /// Capacity less all that runs, starts or stops there.
    core::resources free;
    /// Processors that no task is expected to use. Tasks with a target count
    /// with the part of their request that they use.
    core::millicores spare;
    std::int64_t serving_use_percent = 100;
    /// No task on spare time starts while a serving task is over its target
    /// for reasons that the model does not know.
    bool closed_to_best_effort = false;
    /// Processors that tasks on spare time will take beyond what the last
    /// report shows: those placed since, and those that are sped up.
    cpu_by_image planned;
    /// Tasks with a latency target.
    std::uint32_t serving = 0;
    /// Those tasks by image.
    std::map<std::string, std::uint32_t> serving_images;
    /// Tasks on spare processor time.
    std::uint32_t best_effort = 0;
    /// Tasks of each stage.
    std::map<stage_ref, std::uint32_t> per_stage;

    /// Counts a run of the stage on the worker.
    ///
    /// @param pace Share of its speed in percent; a slowed task leaves the rest
    ///        of its processors to others.
    void add(stage_ref const& stage,
             core::stage_description const& description,
             std::uint32_t pace = 100);

    /// Counts a run that this plan puts there.
    void add_planned(stage_ref const& stage,
                     core::stage_description const& description);
};

/// Tasks of one stage that wait for a worker.
struct pending_stage
{
    stage_ref stage;
    core::stage_description const* description = nullptr;
    core::service_id service;
    std::uint32_t priority = 0;
    job_urgency urgency = job_urgency::on_time;
    core::time_point submitted;
    /// Indices of the tasks, with the number of the next attempt of each.
    std::vector<core::task_run> runs;
    /// Workers on which the tasks have failed.
    std::set<core::worker_id> failed_on;
    /// Racks of the stage's tasks that are placed already.
    std::set<core::rack_id> racks;
};

/// Tells the worst tail latency on a worker, as a multiple of its target, if
/// tasks of these images took this many more processors there.
using tail_hook = std::function<double(core::worker_id const& worker,
                                       cpu_by_image const& added)>;

/// Capacity that one task of the stage holds.
core::resources reserved_by(core::stage_description const& stage);

/// Chooses workers for waiting tasks.
///
/// Stages are served by priority, then by age. A task goes to the worker that
/// is left with the largest free share, so that load stays even and a task
/// that asked for too little disturbs few others; racks, earlier failures and
/// neighbours that disturb each other weigh against a worker. Tasks with a
/// target go beside others of their image: each image bears only some of the
/// images on spare time, so a worker with one serving image is open to more of
/// them than one with a mixture. The members of a gang are placed together or
/// not at all.
///
/// @param candidates Reduced by what is placed.
/// @param most Largest number of tasks to place.
std::vector<core::run_placement>
plan_stages(std::vector<pending_stage> pending,
            std::vector<candidate_worker>& candidates,
            std::size_t most,
            tail_hook const& tail);

} // namespace turmericswitch::workflow

#endif
