#ifndef TURMERICSWITCH_PLACEMENT_TYPES_TICK_DECISIONS_HPP
#define TURMERICSWITCH_PLACEMENT_TYPES_TICK_DECISIONS_HPP

#include "core/decisions/decision_record.hpp"
#include "core/messages/commands.hpp"

#include <vector>

namespace turmericswitch::placement
{

/// A throttle order for the worker that holds the task. It needs no commit.
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

/// Everything that one tick decided. The caller commits `batch` in one entry
/// and reports each part that was not committed back to the planner.
struct tick_decisions
{
    core::placement_batch batch;
    std::vector<throttle_decision> throttles;
    std::vector<quarantine_decision> quarantines;
    std::vector<core::decision_record> records;
};

} // namespace turmericswitch::placement

#endif
