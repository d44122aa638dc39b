#ifndef TURMERICSWITCH_PLACEMENT_TYPES_EVENTS_HPP
#define TURMERICSWITCH_PLACEMENT_TYPES_EVENTS_HPP

#include "core/config/configuration.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <optional>

namespace turmericswitch::placement
{

/// A job that waits for a worker: new, or queued again after an attempt ended.
struct queued_job
{
    core::job_id job;
    /// Attempt number of the next placement.
    core::attempt_number next_attempt{1};
    core::team_id team;
    core::task_kind kind;
    core::priority_class priority = core::priority_class::batch;
    core::resources declared;
    /// Remaining run time by declaration; 0 when unknown.
    core::duration expected_run_time{};
    std::optional<core::wall_time> deadline;
};

/// How a job ended.
enum class terminal_state : std::uint8_t
{
    finished,
    cancelled,
    /// Stopped by a `stop_job` command, or abandoned by its caller.
    stopped,
};

/// An attempt that is already running when a new leader's planner starts.
struct restored_task
{
    queued_job job;
    core::attempt_number attempt;
    core::worker_id worker;
    core::resources reserved;
    bool evicting = false;
};

} // namespace turmericswitch::placement

#endif
