#ifndef TURMERICSWITCH_EXTRAS_BENCH_FLEET_SIMULATION_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_FLEET_SIMULATION_HPP

#include "placement/placement.hpp"
#include "placement_bench/simulated_worker.hpp"

#include <deque>
#include <set>

namespace turmericswitch::bench
{

/// Results of one simulated night.
struct fleet_result
{
    double p99_slowdown = 1;
    double mean_slowdown = 1;
    double urgent_p99_slowdown = 1;
    double urgent_p99_wait_s = 0;
    /// Core hours of batch work completed by the morning, and in total.
    double batch_done_core_hours = 0;
    double batch_due_core_hours = 0;
    /// Core hours of batch progress from the zone going out until half an
    /// hour after it is back in.
    double zone_out_progress = 0;
    /// `zone_out_progress` minus the progress lost in that time because tasks
    /// were killed for memory or their zone shut down.
    double zone_out_retained_progress = 0;
    double lost_core_hours = 0;
    double service_down_hours = 0;
    std::size_t evictions = 0;
    std::size_t memory_kills = 0;
    /// Tasks started while already running, or finished more than once.
    std::size_t duplicate_executions = 0;
    /// Batch jobs that did not finish by the morning.
    std::size_t unfinished = 0;
    std::size_t throttles = 0;
    /// Counts of decision records by action and first reason, without digits.
    std::map<std::string, std::size_t> decision_counts;
    double mean_cpu_reserved = 0;
    double mean_memory_reserved = 0;
};

/// Simulates one night of ten workers and a planner in virtual time. One
/// availability zone is out of service for an hour.
class fleet_simulation
{
public:
    fleet_simulation(workload const& workload,
                     placement::planner_options options);

    fleet_result run();

private:
    struct requeue
    {
        double retry_s;
        core::job_id job;
        double checkpointed_work_s;
    };

    struct delayed_sample
    {
        double measured_s;
        core::worker_id worker;
        core::usage_sample sample;
    };

    void add_workers();
    void queue_arrivals(double now_s);
    void update_zone(double now_s);
    void advance_tasks(double now_s);
    void finish_tasks(double now_s, simulated_worker& worker);
    void kill_for_memory(double now_s, simulated_worker& worker);
    /// Removes a task from its worker and queues it again at `retry_s`, to
    /// resume from its last checkpoint.
    void requeue_from_checkpoint(double now_s,
                                 double retry_s,
                                 simulated_worker& worker,
                                 core::job_id job);
    void record_samples(double now_s);
    void deliver_samples(double now_s);
    void requeue_due_tasks(double now_s);
    void apply_decisions(double now_s,
                         placement::tick_decisions const& decisions);
    void start(double now_s, core::place_task const& command);
    void evict(double now_s, core::evict_task const& command);
    void summarize();
    simulated_worker* find_worker(core::job_id job);

    workload const& m_workload;
    placement::planner m_planner;
    std::vector<simulated_worker> m_workers;
    std::map<core::job_id, bench_job const*> m_jobs;
    std::map<core::job_id, std::uint32_t> m_attempts;
    std::map<core::job_id, double> m_checkpointed_work_s;
    std::map<core::job_id, double> m_queued_at;
    std::set<core::job_id> m_finished;
    std::map<core::job_id, std::size_t> m_worker_indexes;
    std::size_t m_next_arrival = 0;
    std::vector<requeue> m_requeues;
    std::deque<delayed_sample> m_samples;
    std::vector<float> m_service_slowdowns;
    std::vector<float> m_urgent_slowdowns;
    std::vector<double> m_urgent_waits;
    fleet_result m_result;
};

} // namespace turmericswitch::bench

#endif
