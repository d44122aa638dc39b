#ifndef TURMERICSWITCH_WORKFLOW_TESTS_START_SIMULATION_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_START_SIMULATION_HPP

#include "support/runtime_model.hpp"
#include "workflow/agent/worker_agent.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace turmericswitch::workflow::testing
{

/// Disturbances that a simulation has beside sick calls.
struct start_disturbances
{
    bool evictions = false;
    bool leader_changes = false;
    bool sidecar_restarts = false;
};

/// Simulates one worker that doesn't restart, its sidecars one after another,
/// and a leader that places runs there, repeats the orders until it sees them,
/// and evicts some.
///
/// The answer to each call to the worker is drawn apart from its effect. The
/// messages between a sidecar and the leader arrive in order, or not at all
/// when one of the two is replaced.
class start_simulation
{
public:
    start_simulation(std::uint64_t seed, start_disturbances with);

    void play(core::duration length);

    /// @return Runs that the leader has taken for refused and that have begun.
    std::vector<core::task_run> begun_refused() const;

    /// @return Runs that the leader has taken for ended unseen.
    std::set<core::task_run> const& ended_unseen() const noexcept;

    std::size_t refused_count() const noexcept;

private:
    using worker_answer = std::optional<sync_result>;
    using grant_hook = std::function<void(std::optional<core::runtime_grant>)>;
    using orders_hook =
        std::function<void(std::optional<core::runtime_orders>)>;

    struct held_run
    {
        std::optional<core::time_point> start_sent;
        std::optional<core::time_point> stop_sent;
        bool is_evicting = false;
    };

    struct waiting_poll
    {
        core::time_point until;
        orders_hook done;
    };

    std::int64_t between(std::int64_t low, std::int64_t high);
    bool has_chance(int percent);
    void after(core::duration delay, std::function<void()> run);
    /// Runs a function at random intervals.
    void every(core::duration mean, std::function<void()> const& run);

    /// Calls the worker. `execute` has the call's effect and returns its
    /// answer.
    template <typename Answer>
    void call(std::function<Answer()> const& execute,
              std::function<void(Answer)> done,
              Answer refusal,
              Answer no_answer,
              core::duration timeout);
    void call_sync(sync_call const& content,
                   std::function<void(worker_answer)> const& done);
    /// The effects come at once, and the answer later.
    void call_waiting_sync(sync_call const& content,
                           std::function<void(worker_answer)> const& done);

    agent_hooks make_hooks();
    /// @return A function that does nothing once the sidecar was replaced.
    std::function<void()> of_sidecar(std::function<void()> run) const;
    void begin_sidecar();
    void restart_sidecar();

    void change_leader();
    /// @return Time until a message arrives; none overtakes the one before.
    core::duration arrival(core::time_point& last);
    void send_report(core::runtime_report const& report,
                     grant_hook const& done);
    core::runtime_grant take_report(core::runtime_report const& report);
    void take_ends(core::runtime_report const& report,
                   core::runtime_grant& grant);
    void send_poll(core::orders_request const& request,
                   orders_hook const& done);
    void deliver_orders();
    core::runtime_orders due_orders();
    bool is_due(std::optional<core::time_point>& sent) const;
    bool is_listed(core::task_run const& run) const;
    void place();
    std::uint64_t token() const noexcept;

    std::mt19937_64 m_random;
    core::time_point m_now;
    std::multimap<core::time_point, std::function<void()>> m_events;
    turmericswitch::testing::runtime_model m_model;
    /// All sidecars, because late answers to earlier ones refer to them.
    std::vector<std::unique_ptr<worker_agent>> m_agents;
    /// False once the sidecar was replaced.
    std::shared_ptr<bool> m_is_alive;

    std::uint64_t m_term = 1;
    /// Sidecars that the leader has seen.
    std::uint64_t m_number = 0;
    std::uint64_t m_batch = 0;
    std::uint32_t m_placed = 0;
    core::duration m_lease_until{};
    std::optional<core::incarnation> m_sidecar;
    std::optional<core::worker_runs> m_lists;
    std::optional<waiting_poll> m_poll;
    core::time_point m_last_to_leader;
    core::time_point m_last_to_sidecar;
    std::map<core::task_run, held_run> m_held;
    std::set<core::task_run> m_refused;
    std::set<core::task_run> m_ended_unseen;
};

} // namespace turmericswitch::workflow::testing

#endif
