#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PLAN_TIMES_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PLAN_TIMES_HPP

#include "core/types/units.hpp"

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

} // namespace turmericswitch::workflow

#endif
