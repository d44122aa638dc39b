#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCH_EVENTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_DISPATCH_EVENTS_HPP

#include "core/events/event.hpp"
#include "workflow/dispatch/pace_controller.hpp"
#include "workflow/dispatch/worker_fleet.hpp"

#include <optional>

namespace turmericswitch::workflow
{

// The events of the leader's decisions, with the inputs that decided and their
// age. docs/events.md lists their fields.

core::event worker_seen_event(worker_view const& view);

/// @param runs Runs that are given up.
/// @param view Null if this leader has not heard of the worker.
core::event worker_lost_event(core::time_point now,
                              core::worker_id const& worker,
                              std::uint64_t runs,
                              worker_view const* view);

/// @param last The end that led to the decision.
core::event worker_set_aside_event(core::run_outcome const& last);

core::event pace_event(core::worker_id const& worker,
                       core::run_pace const& pace,
                       std::uint32_t before,
                       colocation_sample const& sample);

core::event run_evicted_event(core::worker_id const& worker,
                              core::task_run const& run,
                              core::worker_id const& next);

/// @param workflow Null if it is not known any more.
/// @param waited How long the stage has had tasks without a worker.
core::event run_placed_event(core::time_point now,
                             core::run_placement const& placed,
                             core::workflow_record const* workflow,
                             std::optional<core::duration> waited,
                             worker_view const* view);

/// @param since_placed Nothing for a run that an earlier leader placed.
core::event run_ended_event(core::run_outcome const& outcome,
                            std::optional<core::duration> since_placed);

} // namespace turmericswitch::workflow

#endif
