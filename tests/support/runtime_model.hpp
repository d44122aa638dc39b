#ifndef TURMERICSWITCH_TESTS_SUPPORT_RUNTIME_MODEL_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_RUNTIME_MODEL_HPP

#include "core/messages/workflow.hpp"
#include "workflow/agent/worker_runtime.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::testing
{

/// Model of a worker's runtime that keeps the platform's contract: fencing
/// tokens, attempts, tombstones, absolute lease times on its own clock, a
/// numbered list of ends, and new lives.
///
/// The same model serves the fuzz and the stand-in program. It has no thread
/// and no clock; every call carries the time.
class runtime_model
{
public:
    struct run
    {
        core::task_run id;
        std::string payload;
        std::string checkpoint;
        core::time_point begun;
        core::time_point ends;
        bool will_fail = false;
        std::uint32_t pace = 100;
        /// When a stop ends it; nothing while it is not being stopped.
        std::optional<core::time_point> stops_at;
        /// Its index in the history.
        std::size_t record = 0;
    };

    /// What is known of a run at the end of a test. Calls of the contract don't
    /// show it.
    struct run_record
    {
        core::task_run run;
        core::time_point begun;
        /// Nothing while it runs.
        std::optional<core::time_point> ended;
        /// Nothing while it runs, and if its life ended first.
        std::optional<core::run_end> how;
        /// Whether the acknowledged number reached its end before the lease
        /// lapsed.
        bool is_acknowledged = false;
    };

    /// Which ends an acknowledged number makes a worker drop. The contract
    /// allows both readings.
    enum class acknowledgement
    {
        /// Those that are listed when the call is executed.
        of_listed_ends,
        /// Also later ones, as long as the incarnation lasts.
        of_all_ends,
    };

    /// How long a task runs and whether it fails.
    struct task_plan
    {
        core::duration work{};
        bool fails = false;
    };

    using plan_hook = std::function<task_plan(core::task_run const&)>;

    runtime_model(core::duration longest_lease, plan_hook plan);

    /// Sets how long a stop takes; zero at first.
    void set_stop_time(core::duration time);

    /// Sets the most ended runs in the answer to a sync call.
    void set_ends_per_answer(std::size_t count);

    void set_acknowledgement(acknowledgement reading);

    /// Begins a new life: nothing runs and nothing is known.
    void begin_life(core::time_point now);

    /// Lets the time pass: tasks end and leases lapse.
    void advance(core::time_point now);

    workflow::start_outcome start(core::time_point now,
                                  workflow::start_call const& call);

    /// @return False if the fencing token is outdated.
    bool stop(core::time_point now, workflow::stop_call const& call);
    bool pace(core::time_point now, workflow::pace_call const& call);

    /// @return Nothing if the fencing token is outdated.
    std::optional<workflow::sync_result> sync(core::time_point now,
                                              workflow::sync_call const& call);

    std::map<core::task_ref, run> const& running() const noexcept;
    std::uint64_t life() const noexcept;

    /// Runs that have ended `done` in any life, and whose end was released by
    /// the acknowledged number before the lease lapsed.
    std::vector<core::task_run> released_done() const;

    /// @return All runs of all lives, in the order of their starts.
    std::vector<run_record> const& history() const noexcept;

private:
    struct listed_end
    {
        core::ended_run end;
        std::size_t record = 0;
        bool has_lapsed = false;
    };

    core::duration clock(core::time_point now) const;
    void extend(core::duration until, core::time_point now);
    void end(run const& ended, core::run_end how, core::time_point when);
    bool is_outdated(std::uint64_t token);
    /// Drops the ends up to the number.
    void drop_ends(std::uint64_t acknowledged);

    core::duration m_longest;
    plan_hook m_plan;
    core::duration m_stop_time{};
    std::size_t m_ends_per_answer = 500;
    acknowledgement m_reading = acknowledgement::of_listed_ends;
    std::uint64_t m_life = 0;
    core::time_point m_born;
    std::uint64_t m_token = 0;
    core::duration m_lease{};
    std::uint64_t m_last_end = 0;
    /// Highest acknowledged number in the calls of this life.
    std::uint64_t m_acknowledged = 0;
    std::map<core::task_ref, run> m_running;
    /// Highest attempt of each task that was stopped or has ended.
    std::map<core::task_ref, core::attempt_number> m_closed;
    std::vector<listed_end> m_ended;
    std::vector<run_record> m_history;
};

} // namespace turmericswitch::testing

#endif
