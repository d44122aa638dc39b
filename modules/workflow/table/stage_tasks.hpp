#ifndef TURMERICSWITCH_WORKFLOW_TABLE_STAGE_TASKS_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_STAGE_TASKS_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <vector>

// Access to the tasks of a `core::stage_record`.

namespace turmericswitch::workflow
{

/// @return The task's record, or null if it has none.
core::task_record const* find_task_record(core::stage_record const& stage,
                                          std::uint32_t index);
core::task_record* find_task_record(core::stage_record& stage,
                                    std::uint32_t index);

/// @return The task's record, which is added if it has none. The task must not
///         be done.
core::task_record& add_task_record(core::stage_record& stage,
                                   std::uint32_t index);

/// @return True if the task is done, with or without a record.
bool is_task_done(core::stage_record const& stage, std::uint32_t index);

/// @return Number of done tasks.
std::uint32_t count_done(core::stage_record const& stage);

/// Drops the record of a task that is done, once no run of it is held or
/// suspected.
void drop_done_record(core::stage_record& stage, std::uint32_t index);

/// @param stage Null if no task of the stage was ever placed.
/// @param tasks Number of tasks of the stage.
/// @return The tasks that were never placed.
std::vector<core::task_range> never_placed(core::stage_record const* stage,
                                           std::uint32_t tasks);

/// Members of a gang that fail on one sick worker fail in the same attempt of
/// the gang, which counts once.
///
/// @return Number of failed attempts of the gang.
std::uint32_t count_gang_failure(core::stage_record& gang,
                                 core::attempt_number attempt);

/// Changes a record of an earlier release, which has a record of every task,
/// to one with the records that are needed.
void drop_needless_records(core::stage_record& stage);

} // namespace turmericswitch::workflow

#endif
