#ifndef TURMERICSWITCH_WORKFLOW_TABLE_WORKFLOW_TABLE_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_WORKFLOW_TABLE_HPP

#include "core/messages/commands.hpp"
#include "core/messages/workflow.hpp"
#include "workflow/table/change_log.hpp"
#include "workflow/table/unknown_cancels.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// How long the state of an ended workflow stays available to queries.
constexpr core::duration final_retention = std::chrono::minutes(10);

/// How long a submission is refused after a cancel that found no such workflow:
/// as long as a cancelled workflow stays known, so that a late submission finds
/// either.
constexpr core::duration unknown_cancel_retention = final_retention;

/// Counted crashes of a task in a row from which on its next start is delayed.
/// The first two may have happened before the start reached the worker; before
/// the last one the task is isolated, so a wrong one is unlikely.
constexpr std::uint32_t crashes_before_delay = 4;

/// Suspected runs that are kept for a task; of earlier ones nothing more is
/// learned.
constexpr std::size_t max_suspected = 8;

/// A run that is placed on a worker and whose end is not committed yet. It
/// reserves capacity there.
struct held_run
{
    core::task_run run;
    core::incarnation life;

    auto operator<=>(held_run const&) const = default;
};

/// The replicated state of all workflows.
///
/// All members apply the same commands in the same order, so the result of a
/// command depends only on the command and the table. A run reserves its
/// capacity from its placement until its end is applied, even if its workflow
/// ends earlier.
class workflow_table
{
public:
    /// Adds a workflow. It belongs to the address at which it was accepted,
    /// whatever name a later configuration gives to the queue there. A known id
    /// at the same address is a resent submission and changes nothing.
    ///
    /// @return `ok`; `job_invalid` if the id is known at another address;
    /// `not_admitted`
    ///         if a cancel has found no such workflow before.
    core::command_reply submit(core::submit_workflow const& command,
                               core::queue_rule const& queue,
                               core::time_point now);

    /// Cancels a workflow; has no effect on one that has ended.
    ///
    /// @return `ok`, or `job_unknown` if the queue has no such workflow;
    ///         submissions of it are then refused for the command's
    ///         `refuse_for`.
    core::command_reply cancel(core::cancel_workflow const& command,
                               core::time_point now);

    /// A placement that is a copy is applied to a task with one held run on
    /// another worker. The first end `done` of the two counts; what ends after
    /// it only gives its capacity back.
    ///
    /// Applies ends, late ends, resolved ends, checkpoints, placements and
    /// begun workflows, in this order, and records the longest lease. Parts
    /// that no longer match the table are ignored and counted.
    void progress(core::workflow_progress const& command, core::time_point now);

    /// Removes workflows that ended more than `final_retention` ago and have no
    /// held runs, and expired cancels of unknown workflows.
    ///
    /// @param max_removed Maximum number of records of each kind to remove.
    void prune(core::time_point now, std::size_t max_removed);

    /// @return The workflow, or null.
    core::workflow_record const* find(core::workflow_id const& id) const;

    /// @param address As for `core::is_for`.
    /// @return The workflow if it belongs to the queue, or null.
    core::workflow_record const* find(core::queue_id const& queue,
                                      core::queue_address const& address,
                                      core::workflow_id const& id) const;

    /// @return The task's record, one that only says that it is done, or null
    ///         if the task was never placed.
    core::task_record const* find_task(core::task_ref const& task) const;

    /// @return The task's stage as submitted, or null if the task is unknown or
    ///         the details of its ended workflow were dropped.
    core::stage_description const* find_stage(core::task_ref const& task) const;
    static core::stage_description const*
    find_stage(core::workflow_record const& workflow,
               core::task_ref const& task);

    /// @return When the last run of a task that has none now ended; `nullopt`
    ///         if the task has a run or never had one, or if this member has
    ///         restored the end from a snapshot.
    std::optional<core::time_point>
    unplaced_since(core::task_ref const& task) const;

    /// @return When the last run of a long-running task ended that had begun,
    ///         or when the first one since then was placed; `nullopt` if the
    ///         task was never placed, or if this member has restored it from a
    ///         snapshot.
    std::optional<core::time_point>
    not_running_since(core::task_ref const& task) const;

    /// @return When the last counted crash of each task was committed that has
    ///         `crashes_before_delay` of them or more. Without those that this
    ///         member has restored from a snapshot.
    std::map<core::task_ref, core::time_point> const&
    last_crashes() const noexcept;

    /// @return The held runs of all members if the task is one of a gang, in a
    ///         workflow that has not ended; empty otherwise.
    std::vector<core::run_placement>
    held_gang_runs(core::task_ref const& task) const;

    /// @return True if an end `done` of this run, which is not held, makes its
    ///         task done: the run was taken for ended before, and the task has
    ///         no run now.
    bool accepts_late_end(core::task_run const& run) const;

    /// @return True if an end `done` of this run, which is not held, will make
    ///         its gang done when the other members of its attempt have ended.
    bool waits_for_gang(core::task_run const& run) const;

    /// @return True if an end `failed` of this run, which is not held, counts:
    ///         the run was taken for ended before with a start that its worker
    ///         might still execute.
    bool accepts_late_failure(core::task_run const& run) const;

    /// @return True if this end, of a run that is not held, counts.
    bool counts_late(core::ended_run const& ended) const;

    /// @return The run of the task that keeps an end `done` of `run`, which is
    ///         not held, from making the task done; `nullopt` if there is none,
    ///         or if the end doesn't count at all.
    std::optional<core::run_placement>
    run_before_late_end(core::task_run const& run) const;

    /// @return True while the run is placed on this incarnation of the worker
    ///         and its end is not applied.
    bool is_held(core::run_outcome const& outcome) const;
    bool is_held(core::task_run const& run,
                 core::worker_id const& worker,
                 core::incarnation life) const;

    /// @return The incarnation of the worker that the run is placed on, or
    ///         `nullopt` if it is not held there.
    std::optional<core::incarnation>
    held_incarnation(core::task_run const& run,
                     core::worker_id const& worker) const;

    /// @return Held runs on all incarnations of a worker.
    std::set<held_run> const& held_on(core::worker_id const& worker) const;

    /// @return Held runs by worker, for workers that have any.
    std::map<core::worker_id, std::set<held_run>> const& holds() const noexcept;

    /// @return Runs that ended as `suspected`, by worker, for workers that have
    ///         any.
    std::map<core::worker_id, std::set<held_run>> const&
    suspected() const noexcept;

    /// @return True if no run on the incarnation is held or suspected.
    bool is_settled(core::worker_incarnation const& incarnation) const;

    /// @return Workflows that have not ended, in order of their ids.
    std::set<core::workflow_id> const& active() const noexcept;

    /// @return Number of accepted workflows in the queue of which no task is
    ///         known to have begun.
    std::uint64_t waiting(core::queue_address const& queue) const;

    /// @return Number of occurrences of the workflow, at least 1.
    static std::uint32_t occurrences_of(core::workflow_record const& workflow);

    /// @return True if all stages that this one depends on are done.
    static bool is_ready(core::workflow_record const& workflow,
                         std::uint32_t occurrence,
                         std::uint32_t stage);

    /// @return True if tasks of the stage may have a second run.
    static bool may_be_copied(core::stage_description const& stage) noexcept;

    /// @return True if all tasks of the stage are done.
    static bool is_stage_done(core::stage_record const& stage,
                              std::uint32_t tasks);

    /// @return The stage's record, or null if none of its tasks was ever
    /// placed.
    static core::stage_record const*
    find_stage_record(core::workflow_record const& workflow,
                      std::uint32_t occurrence,
                      std::uint32_t stage);
    static core::stage_record*
    find_stage_record(core::workflow_record& workflow,
                      std::uint32_t occurrence,
                      std::uint32_t stage);

    /// @return Workflows whose state, placements or ends of runs changed.
    change_log<core::workflow_id> const& changed_workflows() const noexcept;

    /// @return Workers on which runs were placed or ended, or hold runs of a
    ///         workflow that ended.
    change_log<core::worker_id> const& changed_workers() const noexcept;

    /// @return Number of command parts that did not match the table.
    std::uint64_t ignored_parts() const noexcept;

    /// @return Longest lease that a leader may have granted to a worker; zero
    ///         if none was recorded.
    core::duration longest_lease() const noexcept;

    /// @return All workflows, for a snapshot.
    std::vector<core::workflow_record> records() const;

    /// @return All cancels that found no workflow, for a snapshot.
    std::vector<core::unknown_cancel_record> cancel_records() const;

    /// Replaces the table by the workflows of a snapshot.
    ///
    /// @param longest_lease As returned by `longest_lease` when the snapshot
    ///        was made.
    void restore(std::vector<core::workflow_record> records,
                 core::duration longest_lease,
                 std::vector<core::unknown_cancel_record> const& cancels = {});

private:
    core::stage_record& stage_record(core::workflow_record& workflow,
                                     core::task_ref const& task);
    void apply(core::run_outcome const& outcome, core::time_point now);
    void apply_end(core::workflow_record& workflow,
                   core::run_outcome const& outcome,
                   core::time_point now);
    /// @return The task if an end `done` of this run, which is not held, may
    ///         make it done, or null.
    core::task_record const* find_late_task(core::task_run const& run) const;
    void apply_late_failure(core::task_run const& run, core::time_point now);
    /// Applies an end of a run that is not held.
    void apply_late_end(core::run_outcome const& outcome, core::time_point now);
    /// Applies what became known of a run that ended as `suspected`.
    void resolve(core::run_outcome const& outcome, core::time_point now);
    void add_suspected(core::run_outcome const& outcome,
                       core::task_record& task);
    /// Adds to or removes from the derived runs by worker.
    void index_suspected(core::task_ref const& task,
                         core::task_attempt const& suspected,
                         bool is_added);
    void clear_suspected(core::task_ref const& ref, core::task_record& task);
    void clear_suspected(core::workflow_record& workflow);
    void apply(core::run_checkpoint const& checkpoint);
    void apply(core::run_placement const& placement, core::time_point now);
    void apply_done(core::workflow_record& workflow,
                    core::stage_record& stage,
                    core::task_run const& run,
                    core::time_point now);
    /// Counts an end `failed` of the run.
    void apply_failure(core::workflow_record& workflow,
                       core::task_run const& run,
                       core::time_point now);
    void apply_crash(core::task_ref const& ref,
                     core::task_record& task,
                     core::time_point now);
    /// The task ran without crashing its worker.
    void clear_crashes(core::task_ref const& ref, core::task_record& task);
    void end(core::workflow_record& workflow,
             core::workflow_state state,
             core::time_point now,
             std::string reason);
    /// A worker was seen to have begun a task of the workflow.
    void set_begun(core::workflow_record& workflow);
    void set_state(core::workflow_record& workflow, core::workflow_state state);
    void update_unplaced(core::workflow_record& workflow,
                         core::task_ref const& task,
                         core::time_point now);
    void add_hold(core::task_ref const& task, core::task_attempt const& held);
    void remove_hold(core::run_outcome const& outcome);
    void drop_details(core::workflow_record& workflow);
    void add_changed_workers(core::workflow_record const& workflow);
    void add_changed_workers(core::task_record const& task);

    std::map<core::workflow_id, core::workflow_record> m_workflows;
    unknown_cancels m_unknown_cancels;
    core::duration m_longest_lease{};
    std::uint64_t m_ignored_parts = 0;

    // Derived from the workflows.
    std::set<core::workflow_id> m_active;
    /// Number of queued workflows, for queues that have any.
    std::map<core::queue_address, std::uint64_t> m_queued;
    std::map<core::worker_id, std::set<held_run>> m_holds;
    std::map<core::worker_id, std::set<held_run>> m_suspected;
    std::map<core::workflow_id, std::size_t> m_held_by_workflow;
    /// When the last runs of unplaced tasks ended. Every member derives it from
    /// the commands, so it survives an election, but it is in no snapshot.
    std::map<core::task_ref, core::time_point> m_unplaced_since;
    /// Of long-running tasks. Every member derives it from the commands; it is
    /// in no snapshot.
    std::map<core::task_ref, core::time_point> m_not_running_since;
    /// Of tasks with `crashes_before_delay` or more. Every member derives it
    /// from the commands; it is in no snapshot.
    std::map<core::task_ref, core::time_point> m_last_crashes;
    change_log<core::workflow_id> m_changed_workflows;
    change_log<core::worker_id> m_changed_workers;
};

} // namespace turmericswitch::workflow

#endif
