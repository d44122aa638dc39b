#include "placement_bench/simulated_worker.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::bench
{

namespace
{

constexpr double checkpoint_interval_s = 300;
// Fraction of the work over which memory use grows to its peak.
constexpr double memory_growth_fraction = 0.4;
constexpr double service_memory_growth_s = 600;

} // namespace

double simulated_task::memory_gb() const
{
    double const growth_s = job->is_service()
                                ? service_memory_growth_s
                                : job->work_s * memory_growth_fraction;
    double const memory_fraction =
        std::min(1.0, 0.3 + 0.7 * completed_work_s / growth_s);
    return job->memory_gb * memory_fraction;
}

double simulated_task::cores_used() const
{
    if (cpu_permille >= 1000)
    {
        return job->cores;
    }
    return std::min(job->cores, reserved_cores * cpu_permille / 1000);
}

simulated_worker::simulated_worker(core::worker_description description)
    : m_description(std::move(description))
{
}

core::worker_description const& simulated_worker::description() const
{
    return m_description;
}

std::map<core::job_id, simulated_task>& simulated_worker::tasks()
{
    return m_tasks;
}

void simulated_worker::advance(double now_s,
                               double step_s,
                               interference_map const& interference,
                               double load_factor)
{
    double const capacity =
        static_cast<double>(m_description.capacity.cpu.value()) / 1000;
    std::map<std::string, double> cores_by_kind;
    double total = 0;
    for (auto const& [id, task] : m_tasks)
    {
        if (task.start_s <= now_s)
        {
            bool const service = task.job->is_service();
            double const cores =
                task.cores_used() * (service ? load_factor : 1);
            cores_by_kind[task.job->declared.kind.value()] += cores;
            total += cores;
        }
    }
    double const load = total / capacity;
    // Contention for caches and memory bandwidth grows with the load.
    double const contention = 0.5 + std::min(1.0, load) * std::min(1.0, load);
    for (auto& [id, task] : m_tasks)
    {
        if (task.start_s > now_s)
        {
            continue;
        }
        auto const& task_kind = task.job->declared.kind.value();
        double excess = 0;
        for (auto const& [kind, cores] : cores_by_kind)
        {
            double const other_cores =
                cores - (kind == task_kind ? task.cores_used() : 0);
            auto const found = interference.find({task_kind, kind});
            excess +=
                found == interference.end()
                    ? 0
                    : found->second * std::max(0.0, other_cores) / capacity;
        }
        task.slowdown = std::max(1.0, load) * (1 + excess * contention);
        double const speed = task.cores_used() / task.job->cores;
        task.completed_work_s += step_s * speed / task.slowdown;
        if (now_s >= task.next_checkpoint_s)
        {
            task.checkpointed_work_s = task.completed_work_s;
            task.next_checkpoint_s = now_s + checkpoint_interval_s;
        }
    }
}

double simulated_worker::memory_gb() const
{
    double total = 0;
    for (auto const& [id, task] : m_tasks)
    {
        total += task.memory_gb();
    }
    return total;
}

} // namespace turmericswitch::bench
