#ifndef TURMERICSWITCH_WORKFLOW_TABLE_WORKFLOW_TABLE_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_WORKFLOW_TABLE_HPP

#include "core/messages/commands.hpp"
#include "core/messages/workflow.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// How long the state of an ended workflow can be asked for.
constexpr core::duration final_retention = std::chrono::minutes(10);

/// One attempt that is placed on a worker and whose end isn't committed.
struct held_run
{
    core::task_run run;
    core::incarnation life;

    auto operator<=>(held_run const&) const = default;
};

/// The replicated state of all workflows.
///
/// All members apply the same commands in the same order, so every decision
/// here depends on the command and the table only. A run holds its capacity
/// from its placement until its end is applied, also when its workflow has
/// ended before.
class workflow_table
{
public:
    /// Accepts a workflow; a known id in the same queue changes nothing.
    ///
    /// @return `ok`, or `job_invalid` if another queue has the id.
    core::command_reply submit(core::submit_workflow const& command,
                               core::queue_rule const& queue,
                               core::time_point now);

    /// @return `ok`, also if the workflow was cancelled before, or
    ///         `job_unknown`.
    core::command_reply cancel(core::cancel_workflow const& command,
                               core::time_point now);

    /// Applies ends, checkpoints and placements. Parts that no longer match
    /// the table are left out and counted.
    void progress(core::workflow_progress const& command, core::time_point now);

    /// Forgets workflows that ended `final_retention` ago and hold nothing.
    void prune(core::time_point now, std::size_t most);

    /// @return The workflow, or null.
    core::workflow_record const* find(core::workflow_id const& id) const;

    /// @return The workflow if it belongs to the queue, or null.
    core::workflow_record const* find(core::queue_id const& queue,
                                      core::workflow_id const& id) const;

    /// @return The task's record, or null while it was never placed.
    core::task_record const* find_task(core::task_ref const& task) const;

    /// @return The task's stage as submitted, or null.
    core::stage_description const* find_stage(core::task_ref const& task) const;

    /// @return True while the run is placed on this life of the worker.
    bool is_held(core::run_outcome const& outcome) const;
    bool is_held(core::task_run const& run,
                 core::worker_id const& worker,
                 core::incarnation life) const;

    /// Runs placed on a worker, all lives.
    std::set<held_run> const& held_on(core::worker_id const& worker) const;

    /// Workers that hold at least one run.
    std::map<core::worker_id, std::set<held_run>> const& holds() const noexcept;

    /// Workflows that haven't ended, in the order of their ids.
    std::set<core::workflow_id> const& active() const noexcept;

    /// @return Accepted workflows of the queue of which no task was placed.
    std::uint64_t waiting(core::queue_id const& queue) const;

    /// @return How often the workflow's stages run.
    static std::uint32_t occurrences_of(core::workflow_record const& workflow);

    /// @return True if all stages that this one waits for have finished.
    static bool is_ready(core::workflow_record const& workflow,
                         std::uint32_t occurrence,
                         std::uint32_t stage);

    /// @return True if all tasks of the stage are done.
    static bool is_stage_done(core::stage_record const& stage,
                              std::uint32_t tasks);

    /// @return The stage's record, or null while none of its tasks was placed.
    static core::stage_record const*
    find_stage_record(core::workflow_record const& workflow,
                      std::uint32_t occurrence,
                      std::uint32_t stage);

    /// Parts of commands that did not match the table.
    std::uint64_t ignored_parts() const noexcept;

    std::vector<core::workflow_record> records() const;
    void restore(std::vector<core::workflow_record> records);

private:
    core::stage_record& stage_record(core::workflow_record& workflow,
                                     core::task_ref const& task);
    void apply(core::run_outcome const& outcome, core::time_point now);
    void apply(core::run_checkpoint const& noted);
    void apply(core::run_placement const& placement);
    void apply_done(core::workflow_record& workflow,
                    core::stage_record& stage,
                    core::task_run const& run,
                    core::time_point now);
    void apply_failure(core::workflow_record& workflow,
                       core::stage_record const& stage,
                       core::time_point now);
    void end(core::workflow_record& workflow,
             core::workflow_state state,
             core::time_point now,
             std::string reason);
    void add_hold(core::task_run const& run, core::task_record const& task);
    void remove_hold(core::task_run const& run, core::task_record const& task);
    void drop_details(core::workflow_record& workflow);

    std::map<core::workflow_id, core::workflow_record> m_workflows;
    std::uint64_t m_ignored_parts = 0;

    // Derived from the workflows.
    std::set<core::workflow_id> m_active;
    std::map<core::worker_id, std::set<held_run>> m_holds;
    std::map<core::workflow_id, std::size_t> m_held_by_workflow;
};

} // namespace turmericswitch::workflow

#endif
