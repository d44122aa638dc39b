#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PLACEMENT_OBSTACLE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PLACEMENT_OBSTACLE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmericswitch::workflow
{

/// The check of the planner that keeps a task from a worker.
///
/// In ascending order of how near the worker comes to taking the task, so the
/// largest one of all workers says what holds the task back.
enum class placement_obstacle : std::uint8_t
{
    none,
    /// No usable worker of the service.
    no_worker,
    /// The worker lacks the required label.
    label,
    /// The worker has as many tasks of the stage as its limit allows.
    max_per_worker,
    /// CPU, memory or accelerators are reserved by other runs.
    no_room,
    /// Best-effort tasks need a part of their CPU that no run uses.
    no_spare_cpu,
    /// The worker has room, but gets no such tasks while tasks fail there.
    quarantine,
    /// A serving task there has been over its latency target for too long.
    serving_over_target,
    /// A serving task there is predicted to come near its latency target.
    serving_tail,
    /// The worker is closed for an isolated task of another workflow.
    isolated_worker,
    /// The task is isolated, and other workflows' runs there are not
    /// established or the worker has just started; or it is overdue, and the
    /// worker has just started.
    isolation,
    /// As many workers as allowed are closed for isolated tasks.
    isolation_limit,
    /// Room there is kept for a wider task.
    kept_room,
    /// The task ends sooner if it waits for a faster worker.
    faster_worker,
    /// Another worker may still execute an unanswered start of the task.
    unresolved_start,
    /// Not all members of the gang fit at once.
    gang,
    /// The command has the most placements that it may have.
    plan_limit,
};

constexpr std::size_t placement_obstacles =
    static_cast<std::size_t>(placement_obstacle::plan_limit) + 1;

/// Number of tasks by what holds them back.
using obstacle_counts = std::array<std::uint64_t, placement_obstacles>;

/// @return The obstacle's name in events and metrics.
std::string_view to_string(placement_obstacle obstacle);

/// @return The counts above 0 as `NAME=COUNT`, separated by commas.
std::string to_string(obstacle_counts const& counts);

} // namespace turmericswitch::workflow

#endif
