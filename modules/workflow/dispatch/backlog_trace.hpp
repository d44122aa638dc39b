#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_BACKLOG_TRACE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_BACKLOG_TRACE_HPP

#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/placement_obstacle.hpp"

#include <optional>

namespace turmericswitch::workflow
{

/// A stage that has waited, and what holds it back.
struct held_back_stage
{
    stage_ref stage;
    /// On the clock of the replicated state.
    core::time_point unplaced_since;
    placement_obstacle why = placement_obstacle::none;
};

/// What held back the tasks that the last plan left unplaced.
class backlog_trace
{
public:
    /// Must be called before each plan.
    void clear();

    /// Counts tasks of a stage that the plan could not place.
    void add(pending_stage const& pending,
             std::uint64_t tasks,
             placement_obstacle why);

    obstacle_counts const& counts() const noexcept;

    /// @return The stage with the task that has waited longest.
    std::optional<held_back_stage> const& longest() const noexcept;

private:
    obstacle_counts m_counts{};
    std::optional<held_back_stage> m_longest;
};

} // namespace turmericswitch::workflow

#endif
