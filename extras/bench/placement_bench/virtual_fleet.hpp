#ifndef TURMERICSWITCH_EXTRAS_BENCH_VIRTUAL_FLEET_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_VIRTUAL_FLEET_HPP

#include "placement/placement.hpp"
#include "placement_bench/virtual_worker.hpp"

#include <deque>
#include <set>

namespace turmericswitch::bench
{

/// What one night came to.
struct night_result
{
    double p99_slowdown = 1;
    double mean_slowdown = 1;
    double urgent_p99_slowdown = 1;
    double urgent_p99_wait_s = 0;
    /// Core hours of batch finished by the morning, and all that was due.
    double batch_done = 0;
    double batch_due = 0;
    /// Core hours of batch progress from zone out to half an hour after in.
    double done_around_zone_out = 0;
    /// The same without the progress that was lost in this time because a
    /// task was killed for memory or its zone went.
    double kept_around_zone_out = 0;
    double lost_work = 0;
    double service_down_hours = 0;
    std::size_t evictions = 0;
    std::size_t memory_kills = 0;
    std::size_t doubled = 0;
    std::size_t unfinished = 0;
    std::size_t throttles = 0;
    /// Decision records by action and first reason, numbers removed.
    std::map<std::string, std::size_t> reasons;
    double mean_cpu_reserved = 0;
    double mean_memory_reserved = 0;
};

/// Ten virtual workers driven by a planner through one night in which one
/// availability zone goes out for an hour.
class virtual_fleet
{
public:
    virtual_fleet(workload const& night, placement::planner_options options);

    night_result run();

private:
    struct requeue
    {
        double at_s;
        core::job_id job;
        double saved_s;
    };

    struct late_sample
    {
        double measured_s;
        core::worker_id worker;
        core::usage_sample sample;
    };

    void add_workers();
    void take_arrivals(double now_s);
    void change_zone(double now_s);
    void advance_tasks(double now_s);
    void finish_tasks(double now_s, virtual_worker& worker);
    void kill_for_memory(double now_s, virtual_worker& worker);
    /// Takes a task away; it waits again from its checkpoint on at `retry_s`.
    void lose(double lost_s,
              double retry_s,
              virtual_worker& worker,
              core::job_id job);
    void measure(double now_s);
    void deliver_samples(double now_s);
    void take_requeues(double now_s);
    void carry_out(double now_s, placement::tick_decisions const& decisions);
    void start(double now_s, core::place_task const& command);
    void evict(double now_s, core::evict_task const& command);
    void summarise();
    virtual_worker* holder_of(core::job_id job);

    workload const& m_night;
    placement::planner m_planner;
    std::vector<virtual_worker> m_workers;
    std::map<core::job_id, bench_job const*> m_jobs;
    std::map<core::job_id, std::uint32_t> m_attempts;
    std::map<core::job_id, double> m_saved;
    std::map<core::job_id, double> m_queued_at;
    std::set<core::job_id> m_finished;
    std::map<core::job_id, std::size_t> m_holder;
    std::size_t m_next_arrival = 0;
    std::vector<requeue> m_requeues;
    std::deque<late_sample> m_samples;
    std::vector<float> m_service_slowdowns;
    std::vector<float> m_urgent_slowdowns;
    std::vector<double> m_urgent_waits;
    night_result m_result;
};

} // namespace turmericswitch::bench

#endif
