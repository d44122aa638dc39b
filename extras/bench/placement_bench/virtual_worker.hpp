#ifndef TURMERICSWITCH_EXTRAS_BENCH_VIRTUAL_WORKER_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_VIRTUAL_WORKER_HPP

#include "core/messages/jobs.hpp"
#include "placement_bench/workload.hpp"

#include <map>
#include <vector>

namespace turmericswitch::bench
{

/// A task on a virtual worker.
struct virtual_task
{
    bench_job const* job = nullptr;
    core::attempt_number attempt;
    double reserved_cores = 0;
    std::uint32_t cpu_permille = 1000;
    double starts_s = 0;
    /// Seconds of work done, and the part that is in a checkpoint.
    double done_s = 0;
    double saved_s = 0;
    double checkpoint_due_s = 0;
    /// When it has stopped after an eviction; 0 while none was ordered.
    double stops_s = 0;
    double slowdown = 1;

    double memory_gb() const;
    double cores_used() const;
};

/// One worker: tasks share processors and slow each other down.
class virtual_worker
{
public:
    explicit virtual_worker(core::worker_description description);

    core::worker_description const& description() const;
    std::map<core::job_id, virtual_task>& tasks();

    /// Runs all started tasks for a time.
    /// @param load_factor Shift of the services' own load, 1 is normal.
    void advance(double now_s,
                 double step_s,
                 pair_effects const& effects,
                 double load_factor);

    double memory_gb() const;

private:
    core::worker_description m_description;
    std::map<core::job_id, virtual_task> m_tasks;
};

} // namespace turmericswitch::bench

#endif
