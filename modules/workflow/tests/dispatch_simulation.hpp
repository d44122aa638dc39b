#ifndef TURMERICSWITCH_WORKFLOW_TESTS_DISPATCH_SIMULATION_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_DISPATCH_SIMULATION_HPP

#include "core/hooks/random_source.hpp"
#include "support/call_faults.hpp"
#include "support/runtime_model.hpp"
#include "workflow/workflow.hpp"
#include "workflow_builder.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::workflow::testing
{

struct simulation_setup
{
    lease_policy leases{std::chrono::seconds(9), std::chrono::seconds(9)};
    std::size_t workers = 4;
    /// Most ended runs that a worker lists at a time.
    std::size_t ends_per_answer = 500;
    /// Share of jobs with a task that crashes each worker that starts it, in
    /// percent.
    std::uint64_t deadly_percent = 0;
    /// Whether half of the stages may have copies; then some runs are slow.
    bool has_copies = false;
    /// Long-running jobs that run beside the others until some seconds after
    /// the faults.
    std::uint64_t long_running_jobs = 0;
    /// Probability, in percent and for each step of 250 ms with faults, that
    /// one to three workers restart at the same moment while their sidecars go
    /// on.
    std::uint64_t lone_restart_percent = 0;
    /// Probability, in percent and for each step of 250 ms with faults, that
    /// the capacity of a worker shrinks for some seconds.
    std::uint64_t shrink_percent = 15;
    /// Probability, in percent and for each step of 250 ms with faults, that
    /// some of the workers are unhealthy for some seconds: they refuse, fail or
    /// don't answer a share of their calls.
    std::uint64_t unhealthy_percent = 0;
    /// Probability, in percent and for each start call while there are faults,
    /// that the sidecar restarts right after it, once or twice in a row.
    std::uint64_t restart_after_start_percent = 0;
    /// Probability, in percent and for each start call that will be executed
    /// late while there are faults, that the worker goes down and up by turns
    /// right after it.
    std::uint64_t flap_after_late_start_percent = 0;
    /// If this is not zero, there are no other faults than this share of start
    /// calls, in percent, that are executed late, and workers that are down
    /// shortly before and execute the call when they are up again. So a
    /// disturbance has calm on both sides.
    std::uint64_t only_late_starts_percent = 0;
    /// Longest time from an unanswered call to a worker until it is executed by
    /// whatever incarnation is up then. Zero if a restart ends all calls that
    /// have timed out.
    core::duration longest_delay_over_restarts{};
    placement_options placement{};
    overload::overload_options overload{};
};

/// Leaders, sidecars and workers in simulated time.
/// Data that the dispatcher updates by changes is compared at every step with
/// the same data derived from the whole table.
///
/// Injected faults are calls that are lost, not answered, or executed seconds
/// late, deposed leaders that keep sending orders, restarts of workers and
/// sidecars, network partitions, and workers whose capacity shrinks and grows.
/// A commit takes a random delay; those of a deposed leader fail.
class dispatch_simulation
{
public:
    explicit dispatch_simulation(std::uint64_t seed,
                                 simulation_setup const& setup = {});
    ~dispatch_simulation();

    /// Runs 40 s with submissions and faults, and 60 s without. Stops at the
    /// first violated invariant.
    ///
    /// @return The violation, or an empty string.
    std::string simulate();

    /// Runs long-running workflows beside batch, with short phases of faults
    /// and long phases without. In addition to the other faults, workers
    /// disappear for good or fail every task for some seconds.
    ///
    /// Adds the invariant that a long-running task runs again within 9 s if
    /// two workers have had room for it in the last 3 s and no fault was
    /// active in the last 7 s.
    ///
    /// @return The violation, or an empty string.
    std::string simulate_long_running();

    /// @return Number of completed jobs.
    std::size_t completed() const;

    /// @return Number of workers that tasks crashed.
    std::size_t crashes() const noexcept;

    /// @return Number of starts of a task whose other run was at work.
    std::size_t copies() const noexcept;

    /// @return Number of runs that were begun by a later incarnation than the
    ///         one that was up when the call was made.
    std::size_t starts_by_later_incarnations() const noexcept;

private:
    struct leader;
    struct worker_host;
    struct sidecar_process;

    using task = std::function<void()>;

    /// A call of a sidecar to its worker.
    struct worker_call
    {
        /// Executes the call. The argument is false if the answer is lost.
        std::function<void(bool answered)> execute;
        /// Answers that the call had no effect.
        task refuse;
        /// Answers with a status that says nothing about the effect.
        task fail;
        /// Called if the call will be executed late, with the time until then;
        /// may be empty.
        std::function<void(core::duration)> delayed;
    };

    struct event
    {
        core::time_point at;
        std::uint64_t order = 0;
        task run;

        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void schedule(core::duration delay, task run);
    void run_events(core::time_point until);
    ::turmericswitch::testing::runtime_model::task_plan
    plan_task(worker_host const& host, core::task_run const& run);
    std::uint64_t random_below(std::uint64_t limit);
    bool chance(std::uint64_t percent);
    core::duration between_ms(std::uint64_t lowest, std::uint64_t highest);

    void submit();
    void cancel_one();

    // simulation_leader.cpp
    void elect();
    void plan(std::shared_ptr<leader> const& target);
    leader_calls leader_calls_of(sidecar_process const& sidecar);

    // simulation_runtime.cpp
    void start_agent(worker_host& host);
    agent_hooks hooks_of(worker_host& host);
    worker_runtime runtime_calls_of(sidecar_process const& sidecar);
    /// @return A function that completes a call of the sidecar once: with its
    ///         answer, or with `on_timeout` if none has come in time.
    template <typename Done, typename Result>
    auto
    complete_once(sidecar_process const& sidecar, Done done, Result on_timeout);
    void call_worker(worker_host& host,
                     ::turmericswitch::testing::call_faults const& faults,
                     worker_call const& call);
    /// @return The delay of a call that reaches the worker before its timeout.
    core::duration delay_under_way();
    /// @return The delay of a call that is executed after its timeout.
    core::duration delay_past_timeout();
    /// @param called_life The incarnation that was up when the call was made.
    void execute_start(worker_host& host,
                       start_call const& call,
                       core::time_point called_at,
                       std::uint64_t called_life,
                       std::function<void(start_outcome)> const& answer);
    /// @param connected_to The incarnation to which the caller's connection
    ///        leads.
    std::optional<sync_result>
    execute_sync(worker_host& host, sync_call call, std::uint64_t connected_to);

    // simulation_faults.cpp
    void inject_fault();
    /// Makes some of the workers unhealthy for some seconds.
    void make_some_unhealthy();
    /// Restarts the sidecar within milliseconds, unless it is replaced before.
    void restart_sidecar_soon(worker_host& host);
    /// Restarts a worker under its id while its sidecar goes on.
    void restart_worker(worker_host& host);
    void flap_after_late_start(worker_host& host);
    /// Checks that no start of the task is under way that may still be
    /// executed, when another one is called.
    void check_no_open_start(core::task_ref const& called);
    /// @return The fate of a start call if nothing else is disturbed.
    ::turmericswitch::testing::call_fate draw_calm_fate();
    /// Lets a worker be down when a call arrives.
    ///
    /// @param delay Time until the call arrives.
    void restart_at_arrival(worker_host& host, core::duration delay);
    /// Lets a worker go down and up by turns.
    void flap(worker_host& host, int restarts);
    /// Restarts one to three workers at the same moment.
    void restart_workers();
    /// Begins the next incarnation of a worker that was down. It registers some
    /// milliseconds later and executes calls before that.
    void begin_incarnation(worker_host& host);

    // capacity_checks.cpp
    /// Shrinks the capacity of a worker for some seconds.
    void shrink_one();
    void set_capacity(worker_host& host, core::resources const& capacity);
    /// Reports the worker, with its current capacity, to its sidecar.
    void register_worker(worker_host& host);
    core::worker_profile profile_of(worker_host const& host) const;
    /// Gives some stages of random jobs needs for memory and accelerators, and
    /// makes some of them use only spare CPU.
    void vary_needs(core::stage_description& stage);
    /// @return The tasks that run or are being stopped on the worker.
    core::resources used_on(worker_host const& host) const;
    /// Checks that a start that was just executed has not brought the worker
    /// over its capacity.
    void check_start(worker_host const& host, core::time_point called_at);

    // crash_checks.cpp
    void choose_deadly_task(core::submit_workflow const& job);
    /// Handles a start that the worker took, and crashes it if the task is
    /// deadly.
    void started(worker_host& host, core::task_run const& run);
    void crash(worker_host& host, core::task_ref const& cause);
    /// Counts a crash once the sidecar that saw it has been in touch with one
    /// leader for long enough.
    void await_count(worker_host& host,
                     core::task_ref const& cause,
                     std::uint64_t sidecar);
    /// @return Number of ends `failed` on the workers, by task; those of a gang
    ///         count for its first member.
    std::map<core::task_ref, std::uint32_t> failed_ends() const;
    /// Checks that jobs are shown as failed only for ends `failed`.
    void check_failed_jobs();
    /// @return True if worker after worker has crashed under a deadly task of
    ///         the job, so that its next start may be delayed.
    bool may_wait_for_deadly_task(core::workflow_id const& id) const;
    /// Checks that no job is active that had to end.
    void check_active_jobs();

    // simulation_checks.cpp
    void check();
    /// Notes the ends `done` that a command has counted.
    void note_done(core::workflow_progress const& command);
    /// Checks that no run of a task begins after an end `done` of it that is
    /// counted or acknowledged then or later, also not the same run on a later
    /// incarnation. One that is lost with its worker may be repeated.
    void check_ends();
    /// Checks that what callers would be shown is allowed by what the workers
    /// have done.
    void check_shown_states();
    /// Compares the backlog that is updated by changes with one that is derived
    /// from the whole table.
    void check_backlog();
    std::string describe(core::workflow_id const& id) const;
    void fail(std::string what);

    // long_running_checks.cpp
    void submit_long_running();
    void cancel_long_running();
    void inject_lasting_fault();
    /// Makes all tasks that start on a worker fail for some seconds.
    void fail_tasks(worker_host& host);
    /// Removes a worker for good; two thirds of the workers always stay.
    void remove_worker(worker_host& host);
    void schedule_fault_phase(core::duration begin);
    void end_faults();
    void check_long_running();
    void check_task(core::task_ref const& ref);
    /// @return True if the worker works and has capacity for another task of
    ///         the stage besides what it is executing.
    bool has_room(worker_host const& host,
                  stage_ref const& ref,
                  core::stage_description const& stage) const;

    simulation_setup m_setup;
    core::random_source m_random;
    core::time_point m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    workflow_table m_table;
    core::configuration m_config;
    run_time_model m_no_run_times;
    worker_fleet m_no_workers;
    stage_backlog m_backlog;
    std::shared_ptr<leader> m_leader;
    std::vector<std::shared_ptr<leader>> m_deposed;
    std::vector<std::unique_ptr<worker_host>> m_hosts;
    std::uint64_t m_term = 0;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_last_life = 0;
    bool m_faults_off = false;
    std::uint64_t m_long_running = 0;
    std::size_t m_removed_workers = 0;
    /// End of the last injected fault.
    core::time_point m_last_fault;
    /// When each long-running task was executing last, or was first seen.
    std::map<core::task_ref, core::time_point> m_last_run;
    /// Since when each worker has had room for a task of each stage.
    std::map<std::pair<stage_ref, std::string>, core::time_point> m_room_since;
    std::string m_violation;
    /// Tasks that crash each worker that starts them.
    std::set<core::task_ref> m_deadly;
    /// Number of crashes with the task on the worker.
    std::map<core::task_ref, std::uint32_t> m_crashes_under;
    /// Number of crashes that a leader must have counted, by the task that
    /// caused them.
    std::map<core::task_ref, std::uint32_t> m_seen_crashes;
    std::size_t m_crashes = 0;
    /// Stages whose tasks form a gang.
    std::set<stage_ref> m_gangs;
    std::set<core::task_run> m_copied;
    /// Runs that were begun by a later incarnation than the one that was up
    /// when the call was made.
    std::set<core::task_run> m_started_late;
    /// When the last late start of each task is executed.
    std::map<core::task_ref, core::time_point> m_late_starts;
    /// Runs whose ends `done` the leader has counted.
    std::set<core::task_run> m_counted_done;
    /// Jobs of which a worker has begun a task.
    std::set<core::workflow_id> m_begun;
};

} // namespace turmericswitch::workflow::testing

#endif
