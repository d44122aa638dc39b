#ifndef TURMERICSWITCH_PLACEMENT_STATE_TASK_ENTRY_HPP
#define TURMERICSWITCH_PLACEMENT_STATE_TASK_ENTRY_HPP

#include "placement/model/interference_model.hpp"
#include "placement/types/events.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace turmericswitch::placement
{

enum class task_phase : std::uint8_t
{
    queued,
    /// Placed, but not yet reported as started.
    starting,
    running,
    /// Told to stop; holds its capacity until the stop is confirmed.
    evicting,
    /// A `stop_job` command was issued but is not committed yet.
    stopping,
};

/// What the planner knows about one job.
struct task_entry
{
    queued_job spec;
    kind_index kind = 0;
    core::priority_class priority = core::priority_class::batch;
    task_phase phase = task_phase::queued;
    task_phase phase_before_stop = task_phase::queued;

    // While queued
    core::time_point first_queued{};
    core::time_point queued_since{};
    core::time_point not_before{};
    /// Latest start that still meets the deadline.
    core::time_point latest_start = core::time_point::max();
    core::time_point deadline = core::time_point::max();
    bool ranked = false;
    /// Why the last attempt to place it failed; a string literal.
    char const* wait_reason = "";
    /// Slot of the worker that is held for this job.
    std::optional<std::size_t> hold_slot;
    core::time_point held_since{};

    // While it holds capacity on a worker
    std::size_t slot = 0;
    core::attempt_number attempt;
    core::resources reserved;
    /// Reservation at placement, before any growth.
    core::resources initial_reservation;
    core::resources charged;
    core::resources peak;
    /// Demand that `usage_model` has counted for this task.
    core::resources demand;
    core::resources last_used;
    /// Latest use with margin; exceeds the reservation when the worker has too
    /// little capacity.
    core::resources wanted;
    core::time_point last_measured{};
    core::time_point placed_at{};
    core::time_point checkpointed_at{};
    std::uint32_t cpu_permille = 1000;
    double slowdown = 1;
    core::time_point slowdown_measured{};
    unsigned slow_reports = 0;
    bool counts_as_good = false;

    // Over all attempts
    std::set<std::size_t> failed_slots;
    unsigned failures = 0;

    bool is_batch() const noexcept
    {
        return priority == core::priority_class::batch;
    }

    bool is_active() const noexcept
    {
        return phase == task_phase::starting || phase == task_phase::running;
    }

    /// @return True if a failed search for a similar job does not imply that
    /// this job has no worker either.
    bool needs_own_search() const noexcept
    {
        return hold_slot.has_value() || !failed_slots.empty();
    }

    bool holds_capacity() const noexcept
    {
        return phase != task_phase::queued && attempt.value() != 0;
    }
};

} // namespace turmericswitch::placement

#endif
