#ifndef TURMERICSWITCH_PLACEMENT_TYPES_TICK_DECISIONS_HPP
#define TURMERICSWITCH_PLACEMENT_TYPES_TICK_DECISIONS_HPP

#include "core/decisions/decision_record.hpp"
#include "core/messages/commands.hpp"

#include <vector>

namespace turmericswitch::placement
{

/// A throttle order for the worker that runs the task. It is sent without
/// being committed.
struct throttle_decision
{
    core::worker_id worker;
    core::task_order order;
};

/// A worker that entered or left quarantine.
struct quarantine_decision
{
    core::worker_id worker;
    bool quarantined = true;
};

/// The decisions of one tick. The caller commits `batch` in one log entry and
/// reports each part that was not committed back to the planner.
struct tick_decisions
{
    core::placement_batch batch;
    std::vector<throttle_decision> throttles;
    std::vector<quarantine_decision> quarantines;
    std::vector<core::decision_record> records;
};

} // namespace turmericswitch::placement

#endif
