#ifndef TURMERICSWITCH_BENCH_DISPATCH_COST_SIMULATED_FLEET_HPP
#define TURMERICSWITCH_BENCH_DISPATCH_COST_SIMULATED_FLEET_HPP

#include "core/hooks/random_source.hpp"
#include "workflow/workflow.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::bench
{

/// Processor time of one kind of event.
struct event_cost
{
    std::uint64_t events = 0;
    double cpu_ms = 0;
};

/// What one simulation cost.
struct dispatch_cost
{
    event_cost reports;
    event_cost plans;
    event_cost commits;
    event_cost orders;
    std::uint64_t ended_runs = 0;
    std::uint64_t submitted_jobs = 0;

    /// @return Processor time of all events in milliseconds.
    double total_ms() const;
};

/// A leader's workflow table and dispatcher in simulated time, with workers
/// that run all tasks as ordered and report each end at once.
///
/// Three kinds of jobs arrive in proportion to the number of workers: short
/// urgent ones, wide ones that use spare CPU and save checkpoints, and
/// long-running services.
class simulated_fleet
{
public:
    simulated_fleet(std::size_t workers,
                    std::uint64_t seed,
                    workflow::dispatch_options options);

    /// Runs the simulation.
    ///
    /// @param warm_up Simulated time before the measurement.
    /// @param measured Simulated time of the measurement.
    dispatch_cost run(core::duration warm_up, core::duration measured);

private:
    struct running_task
    {
        core::time_point begun;
        core::time_point ends;
        bool is_serving = false;
    };

    struct worker_state
    {
        core::worker_profile profile;
        std::map<core::task_run, running_task> running;
        std::vector<core::ended_run> ended;
        std::uint64_t last_end = 0;
        core::time_point next_report;
        bool is_reporting = false;
    };

    struct commit
    {
        core::time_point at;
        core::workflow_progress command;
    };

    using timed_end =
        std::pair<core::time_point, std::pair<std::size_t, core::task_run>>;

    void step();
    void submit_jobs();
    void submit(core::queue_rule const& queue,
                std::vector<core::stage_description> stages);
    void end_runs();
    void report(std::size_t index);
    void finish_commit();
    void plan();
    void answer_reports();
    void deliver_orders();
    void execute(std::size_t index, core::runtime_orders const& orders);
    core::worker_runs runs_of(worker_state const& from) const;
    core::duration run_time(core::stage_description const& stage);

    core::random_source m_random;
    core::time_point m_now;
    workflow::workflow_table m_table;
    workflow::dispatcher m_dispatcher;
    core::configuration m_config;
    std::vector<worker_state> m_workers;
    std::map<core::worker_id, std::size_t> m_indices;
    std::priority_queue<timed_end,
                        std::vector<timed_end>,
                        std::greater<timed_end>>
        m_ends;
    std::set<std::size_t> m_waiting_reports;
    std::optional<commit> m_commit;
    std::vector<double> m_arrivals;
    std::uint64_t m_jobs = 0;
    dispatch_cost m_cost;
};

} // namespace turmericswitch::bench

#endif
