#ifndef TURMERICSWITCH_EXTRAS_BENCH_SIMULATED_WORKER_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_SIMULATED_WORKER_HPP

#include "core/messages/jobs.hpp"
#include "placement_bench/workload.hpp"

#include <map>
#include <vector>

namespace turmericswitch::bench
{

/// A task on a simulated worker. All times are in seconds since the start of
/// the night.
struct simulated_task
{
    bench_job const* job = nullptr;
    core::attempt_number attempt;
    double reserved_cores = 0;
    std::uint32_t cpu_permille = 1000;
    double start_s = 0;
    /// Seconds of work completed, and the part covered by the last checkpoint.
    double completed_work_s = 0;
    double checkpointed_work_s = 0;
    double next_checkpoint_s = 0;
    /// When the task stops because of an eviction; 0 without an eviction.
    double stop_s = 0;
    double slowdown = 1;

    double memory_gb() const;
    double cores_used() const;
};

/// One simulated worker whose tasks share processors and slow each other down.
class simulated_worker
{
public:
    explicit simulated_worker(core::worker_description description);

    core::worker_description const& description() const;
    std::map<core::job_id, simulated_task>& tasks();

    /// Advances all started tasks by `step_s` seconds.
    ///
    /// @param load_factor Multiplier of the load of services, 1 is normal.
    void advance(double now_s,
                 double step_s,
                 interference_map const& interference,
                 double load_factor);

    double memory_gb() const;

private:
    core::worker_description m_description;
    std::map<core::job_id, simulated_task> m_tasks;
};

} // namespace turmericswitch::bench

#endif
