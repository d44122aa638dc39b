#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PENDING_STAGE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PENDING_STAGE_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/run_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// Whether a workflow is expected to meet its objective.
enum class job_urgency : std::uint8_t
{
    on_time,
    late,
    /// So late that its result is no longer useful to the caller.
    too_late,
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
    /// Since when the task that has waited longest is unplaced, on the clock of
    /// the replicated state.
    core::time_point unplaced_since;
    /// The next attempt of each task.
    run_list runs;
    /// Suspicion of the tasks; `none` for those that are not listed.
    std::map<core::task_run, crash_suspicion> suspected;
    /// True if an isolated task of the stage has waited for too long.
    bool is_isolation_late = false;
    /// For tasks with a start that a worker has not answered, that worker.
    std::map<core::task_run, core::worker_id> unresolved_on;
    /// The only worker that may get the tasks; `nullopt` if any may.
    std::optional<core::worker_id> only_on;
    /// Workers on which the tasks have failed.
    std::set<core::worker_id> failed_on;
    /// Racks of the stage's placed tasks.
    std::set<core::rack_id> racks;
};

/// @return True if a task of the stage must be isolated.
bool has_isolated(pending_stage const& pending);

} // namespace turmericswitch::workflow

#endif
