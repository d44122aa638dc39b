#ifndef TURMERICSWITCH_CORE_MESSAGES_WORKFLOW_HPP
#define TURMERICSWITCH_CORE_MESSAGES_WORKFLOW_HPP

#include "core/config/configuration.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::core
{

/// Where the tasks of a stage may run.
struct stage_constraints
{
    /// Label that the worker must have; empty if any worker will do.
    std::string required_label;
    /// Rack that holds the data; work elsewhere takes longer. Empty if none.
    rack_id data_rack;
    /// Most tasks of the stage on one worker; 0 means no limit.
    std::uint32_t max_per_worker = 0;
    /// The tasks take longer when they are spread over racks.
    bool prefers_one_rack = false;

    bool operator==(stage_constraints const&) const = default;
};

/// How the tasks of a stage run and end.
struct stage_behaviour
{
    /// Tasks save their progress and resume from it.
    bool checkpoints = false;
    /// All tasks of one attempt run together and end together.
    bool gang = false;
    /// Several copies of a task may run; the first to finish counts.
    bool speculative = false;
    /// Tasks run until the workflow is cancelled.
    bool long_running = false;
    /// Tasks use only the processor time that others leave; their processor
    /// request is not reserved.
    bool uses_spare_cpu = false;
    /// Most tasks of a long-running stage that control may have away at once.
    std::uint32_t max_unavailable = 0;
    /// Names what the tasks run; tasks of one image behave alike.
    std::string image;
    /// Bound on the tail latency of tasks that serve; zero if they don't.
    duration target_latency{};

    bool operator==(stage_behaviour const&) const = default;
};

/// One stage of a workflow: a number of equal tasks.
struct stage_description
{
    std::uint32_t tasks = 0;
    resources need;
    /// The submitter's estimate of a task's run time.
    duration estimate{};
    /// Earlier stages that must have finished, by number from 0.
    std::vector<std::uint32_t> after;
    stage_constraints constraints;
    stage_behaviour behaviour;

    bool operator==(stage_description const&) const = default;
};

/// When a workflow that runs several times is due.
struct workflow_schedule
{
    wall_time first;
    duration interval{};
    /// Number of occurrences; 0 for a workflow that runs once, at once.
    std::uint32_t occurrences = 0;

    bool operator==(workflow_schedule const&) const = default;
};

/// A job of stages and tasks as its submitter describes it.
struct workflow_description
{
    /// Passed to every task unread.
    std::string payload;
    std::vector<stage_description> stages;
    workflow_schedule schedule;

    bool operator==(workflow_description const&) const = default;
};

/// Names one task of a workflow.
struct task_ref
{
    workflow_id workflow;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;
    std::uint32_t index = 0;

    auto operator<=>(task_ref const&) const = default;
};

/// `workflow.occurrence.stage.index`, the form used in logs.
std::string to_string(task_ref const& task);

/// One attempt of a task.
struct task_run
{
    task_ref task;
    attempt_number attempt;

    auto operator<=>(task_run const&) const = default;
};

enum class run_end : std::uint8_t
{
    done,
    /// By its own fault or its worker's.
    failed,
    /// A stop order ended it.
    stopped,
    /// The lease ended.
    lapsed,
    /// Another member of its gang ended.
    broken,
    /// The other members of its gang did not start in time.
    alone,
    /// The worker refused the start; it has not run.
    refused,
    /// The worker's life ended, or its lease certainly has.
    lost,
    /// The worker crashed before the run was seen at work there. Releases
    /// before the one that added this value can't read it.
    crashed,
    /// The worker's life ended before the run was seen at work there, and
    /// neither its sidecar nor the leader can tell a crash from the loss of the
    /// instance. Releases before the one that added this value can't read it.
    suspected,
};

std::string_view to_string(run_end end);

enum class workflow_state : std::uint8_t
{
    /// No task is known to have begun, though some may be placed.
    queued,
    /// A worker was seen to have begun a task.
    running,
    completed,
    failed,
    cancelled,
};

std::string_view to_string(workflow_state state);

/// @return True for states that never change again.
bool is_final(workflow_state state) noexcept;

/// An attempt of a task, and where it was placed.
struct task_attempt
{
    attempt_number attempt;
    worker_id worker;
    incarnation life;

    bool operator==(task_attempt const&) const = default;
};

/// State of one task.
struct task_record
{
    /// Number of the last attempt; 0 before the first.
    attempt_number attempt;
    /// The worker that the last attempt was placed on, while it is held.
    worker_id worker;
    incarnation life;
    bool placed = false;
    bool done = false;
    std::uint32_t failures = 0;
    checkpoint_id checkpoint;
    /// Workers that crashed under the task since it last ran on a worker
    /// without crashing it. An established run did.
    std::uint32_t crashes = 0;
    /// Its last suspected runs since it last ran on a worker without crashing
    /// it.
    std::vector<task_attempt> suspected;
    /// The attempt before the last one, while it is held beside the last one or
    /// after that has ended. Only tasks of speculative stages have one.
    std::optional<task_attempt> earlier;
    /// Worker that may still execute a start of an ended run, which it has not
    /// answered; empty if there is none.
    worker_id unresolved_on;
    /// The last attempt that was taken for ended with such a start, and of
    /// which no end `failed` has been counted; 0 if there is none.
    attempt_number uncounted_attempt;

    bool operator==(task_record const&) const = default;
};

/// @return Number of workers that crashed, or may have crashed, under the task.
std::uint32_t possible_crashes(task_record const& task) noexcept;

/// Consecutive tasks of a stage: from index `first` to the one before `end`.
struct task_range
{
    std::uint32_t first = 0;
    std::uint32_t end = 0;

    bool operator==(task_range const&) const = default;
};

/// The tasks of one stage of one occurrence. Its size follows the tasks that
/// were placed and are not done, not the number of tasks.
struct stage_record
{
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;
    /// Records of tasks in the order of their indices. A task without one is
    /// done or was never placed.
    std::vector<task_record> tasks;
    /// The index of each of `tasks`. Empty in a record of an earlier release,
    /// which has a record of every task.
    std::vector<std::uint32_t> indices;
    /// Done tasks without a record: ascending, neither overlapping nor
    /// adjacent.
    std::vector<task_range> done;
    /// Attempts of a gang that count as failed; empty for other stages. Several
    /// members may end `failed` in one attempt of the gang.
    std::vector<attempt_number> failed_attempts{};

    bool operator==(stage_record const&) const = default;
};

struct workflow_record
{
    workflow_id workflow;
    /// The queue as it was configured when the workflow was accepted.
    queue_rule queue;
    workflow_description description;
    workflow_state state = workflow_state::queued;
    time_point submitted;
    time_point ended;
    /// Stages of which a task was placed at least once.
    std::vector<stage_record> stages;
    std::string reason;

    bool operator==(workflow_record const&) const = default;
};

/// Accepts a workflow. The same id again at the same address is the same one.
struct submit_workflow
{
    /// The queue's name in the configuration of the gateway.
    queue_id queue;
    workflow_id workflow;
    workflow_description description;
    /// Empty in calls of earlier releases.
    queue_address address;

    bool operator==(submit_workflow const&) const = default;
};

struct cancel_workflow
{
    queue_id queue;
    workflow_id workflow;
    /// If the queue has no such workflow: time for which submissions of it are
    /// refused. Set by the leader; zero in entries of earlier releases.
    duration refuse_for{};
    /// Empty in calls of earlier releases.
    queue_address address;

    bool operator==(cancel_workflow const&) const = default;
};

/// A cancel that found no workflow.
struct unknown_cancel_record
{
    queue_id queue;
    workflow_id workflow;
    /// Submissions of the workflow are refused until then.
    time_point expires;
    /// Empty in snapshots of earlier releases.
    queue_address address;

    bool operator==(unknown_cancel_record const&) const = default;
};

/// Puts one attempt of a task on a life of a worker.
struct run_placement
{
    task_run run;
    worker_id worker;
    incarnation life;
    /// True if another run of the task is held, which this one copies.
    bool is_copy = false;

    bool operator==(run_placement const&) const = default;
};

/// The end of an attempt on a life of a worker.
struct run_outcome
{
    task_run run;
    worker_id worker;
    incarnation life;
    run_end how = run_end::done;
    checkpoint_id checkpoint;
    /// True if the run was established before it ended as `lost`. Set only for
    /// tasks with counted crashes or suspected runs, so that earlier releases
    /// can read all other ends.
    bool established = false;
    /// True if the worker may still execute a start of the task that it has not
    /// answered, also after a restart under its id.
    bool is_start_unresolved = false;

    bool operator==(run_outcome const&) const = default;
};

/// A checkpoint of an attempt that goes on.
struct run_checkpoint
{
    task_run run;
    checkpoint_id checkpoint;

    bool operator==(run_checkpoint const&) const = default;
};

/// Ends, checkpoints, placements and begun workflows, applied in this order.
struct workflow_progress
{
    std::vector<run_outcome> ends;
    std::vector<run_checkpoint> checkpoints;
    std::vector<run_placement> placements;
    /// Upper bound of all leases that are valid or may be granted from now on.
    /// Zero leaves the recorded length as it is.
    duration longest_lease{};
    /// Runs that ended as `suspected` and are now known to have ended as
    /// `crashed` or `lost`. Applied after the ends.
    std::vector<run_outcome> resolved;
    /// Workflows of which a worker was seen to have begun a task.
    std::vector<workflow_id> begun;
    /// Ends of runs that were taken for ended before: `done`, of tasks that
    /// have no run now, and `failed`. Applied after the ends.
    std::vector<run_outcome> late_ends;

    bool operator==(workflow_progress const&) const = default;
};

/// What a worker says of itself.
struct worker_profile
{
    worker_id worker;
    /// Differs for each life of a worker, also under the same id.
    incarnation life;
    service_id service;
    zone_id zone;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /// While the worker drains: how long it certainly stays.
    duration stays{};

    bool operator==(worker_profile const&) const = default;
};

struct running_task
{
    task_run run;
    checkpoint_id checkpoint;
    /// How much of its work is done; of a task that serves, 100 once it does.
    std::uint32_t percent = 0;
    /// Of a task that serves its tail latency in ms, else its processor use
    /// in millicores, both rough.
    std::int64_t load = 0;

    bool operator==(running_task const&) const = default;
};

struct ended_run
{
    /// Position in the worker's list of ends, from 1 in each life.
    std::uint64_t number = 0;
    task_run run;
    run_end how = run_end::done;
    checkpoint_id checkpoint;

    bool operator==(ended_run const&) const = default;
};

/// What a worker runs and what has ended there.
struct worker_runs
{
    /// All runs at work.
    std::vector<running_task> running;
    /// The oldest ends that are not acknowledged, as many as one answer of the
    /// worker lists.
    std::vector<ended_run> ended;
    /// True if further runs may have ended: a run that is in neither list may
    /// be one of them, so nothing follows from its absence.
    bool may_have_more_ends = false;

    bool operator==(worker_runs const&) const = default;
};

/// One incarnation of a worker.
struct worker_incarnation
{
    worker_id worker;
    incarnation life;

    auto operator<=>(worker_incarnation const&) const = default;
};

/// An incarnation that ended without notice while its sidecar went on.
struct crashed_incarnation
{
    worker_incarnation id;
    /// Runs that the sidecar had seen at work for long enough that they are not
    /// the cause.
    std::vector<task_run> established;

    bool operator==(crashed_incarnation const&) const = default;
};

/// Version of the orders that this release reads: 1 has
/// `run_start::single_call`.
constexpr std::uint32_t current_order_version = 1;

/// Start calls without an answer that a worker may still execute, also after a
/// restart under its id.
struct unresolved_starts
{
    /// The runs that the sidecar has called.
    std::vector<task_run> runs;
    /// True if no earlier sidecar has made a call that may still be executed.
    bool is_complete = false;

    bool operator==(unresolved_starts const&) const = default;
};

/// Sent by the sidecar beside a worker to the leader.
struct runtime_report
{
    /// The instance that the worker and its sidecar run on.
    instance_id host;
    worker_profile profile;
    /// The sidecar's own life; a restarted one has lost its open orders.
    incarnation sidecar;
    /// The worker's clock when the lists were made.
    duration clock{};
    /// Nothing before the worker's first answer.
    std::optional<worker_runs> runs;
    /// Starts that certainly have not run and never will.
    std::vector<task_run> refused;
    bool left = false;
    /// True if the worker did not answer the last call: the clock and the lists
    /// are those of an earlier answer.
    bool silent = false;
    /// Earlier incarnations on the instance, repeated until a grant
    /// acknowledges them.
    std::vector<crashed_incarnation> crashed;
    /// Runs that have ended on the worker, which dropped the ends before it
    /// listed them: nobody knows how they ended.
    std::vector<task_run> ended_unseen;
    /// Fencing token of the sidecar's calls when it made the report; zero in
    /// reports without refused runs.
    std::uint64_t refused_under = 0;
    unresolved_starts unresolved;
    /// Highest version of orders that the sidecar reads. It can't read orders
    /// with members of a later version.
    std::uint32_t order_version = 0;

    bool operator==(runtime_report const&) const = default;
};

struct runtime_grant
{
    result_code code = result_code::ok;
    std::optional<endpoint> leader;
    std::uint64_t fencing_token = 0;
    /// End of the lease on the worker's clock.
    duration lease_until{};
    /// Ends up to this number are committed, and the worker may drop them.
    std::uint64_t acknowledged_ends = 0;
    /// Refused and unseen ended runs whose end is committed.
    std::vector<task_run> acknowledged_refusals;
    /// RPC endpoints of the control group's members.
    std::vector<endpoint> control;
    /// Reported crashes that are committed for all runs concerned.
    std::vector<worker_incarnation> acknowledged_crashes;
    /// Ends up to this number are committed. Those above `acknowledged_ends`
    /// must stay on the worker's list, because it may still execute a start of
    /// their tasks. Zero if no acknowledgement is withheld.
    std::uint64_t committed_ends = 0;

    bool operator==(runtime_grant const&) const = default;
};

struct orders_request
{
    worker_id worker;
    incarnation life;
    incarnation sidecar;
    duration max_wait{};
    /// Number of the last batch of orders that arrived; 0 before the first.
    std::uint64_t received_batch = 0;

    bool operator==(orders_request const&) const = default;
};

struct run_start
{
    task_run run;
    checkpoint_id checkpoint;
    /// On the worker's clock: later the start is not valid.
    duration lease_until{};
    /// True if no start of the task may be called while the worker may still
    /// execute an earlier call without an answer.
    bool single_call = false;

    bool operator==(run_start const&) const = default;
};

/// Starts of one workflow, which share its payload.
struct start_group
{
    workflow_id workflow;
    std::string payload;
    std::vector<run_start> starts;

    bool operator==(start_group const&) const = default;
};

/// Limits a task to a share of its speed, in percent.
struct run_pace
{
    task_run run;
    std::uint32_t percent = 100;

    bool operator==(run_pace const&) const = default;
};

struct runtime_orders
{
    result_code code = result_code::ok;
    std::optional<endpoint> leader;
    std::uint64_t fencing_token = 0;
    std::vector<start_group> starts;
    std::vector<task_run> stops;
    std::vector<run_pace> paces;
    /// Numbers the non-empty batches to one worker.
    std::uint64_t batch = 0;
    /// What the worker's runs reserve once the batch is executed, including
    /// those that are being stopped.
    resources reserved;

    bool operator==(runtime_orders const&) const = default;
};

struct workflow_query
{
    queue_id queue;
    /// Empty to ask for the number of waiting workflows of the queue.
    workflow_id workflow;
    /// Empty in calls of earlier releases.
    queue_address address;

    bool operator==(workflow_query const&) const = default;
};

struct workflow_answer
{
    result_code code = result_code::ok;
    std::optional<endpoint> leader;
    std::optional<workflow_state> state;
    /// Accepted workflows of the queue of which no task has started.
    std::uint64_t waiting = 0;

    bool operator==(workflow_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
