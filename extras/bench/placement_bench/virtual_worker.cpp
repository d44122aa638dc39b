#include "placement_bench/virtual_worker.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::bench
{

namespace
{

constexpr double checkpoint_every_s = 300;
// Memory grows to its peak over this share of the work.
constexpr double growth_share = 0.4;
constexpr double service_growth_s = 600;

} // namespace

double virtual_task::memory_gb() const
{
    double const whole =
        job->is_service() ? service_growth_s : job->work_s * growth_share;
    double const grown = std::min(1.0, 0.3 + 0.7 * done_s / whole);
    return job->memory_gb * grown;
}

double virtual_task::cores_used() const
{
    if (cpu_permille >= 1000)
    {
        return job->cores;
    }
    return std::min(job->cores, reserved_cores * cpu_permille / 1000);
}

virtual_worker::virtual_worker(core::worker_description description)
    : m_description(std::move(description))
{
}

core::worker_description const& virtual_worker::description() const
{
    return m_description;
}

std::map<core::job_id, virtual_task>& virtual_worker::tasks()
{
    return m_tasks;
}

void virtual_worker::advance(double now_s,
                             double step_s,
                             pair_effects const& effects,
                             double load_factor)
{
    double const capacity =
        static_cast<double>(m_description.capacity.cpu.value()) / 1000;
    std::map<std::string, double> used;
    double total = 0;
    for (auto const& [id, task] : m_tasks)
    {
        if (task.starts_s <= now_s)
        {
            bool const service = task.job->is_service();
            double const cores =
                task.cores_used() * (service ? load_factor : 1);
            used[task.job->declared.kind.value()] += cores;
            total += cores;
        }
    }
    double const load = total / capacity;
    // Caches and memory bandwidth hurt more the busier the worker is.
    double const pressure = 0.5 + std::min(1.0, load) * std::min(1.0, load);
    for (auto& [id, task] : m_tasks)
    {
        if (task.starts_s > now_s)
        {
            continue;
        }
        auto const& own = task.job->declared.kind.value();
        double excess = 0;
        for (auto const& [kind, cores] : used)
        {
            double const others = cores - (kind == own ? task.cores_used() : 0);
            auto const effect = effects.find({own, kind});
            excess += effect == effects.end()
                          ? 0
                          : effect->second * std::max(0.0, others) / capacity;
        }
        task.slowdown = std::max(1.0, load) * (1 + excess * pressure);
        double const speed = task.cores_used() / task.job->cores;
        task.done_s += step_s * speed / task.slowdown;
        if (now_s >= task.checkpoint_due_s)
        {
            task.saved_s = task.done_s;
            task.checkpoint_due_s = now_s + checkpoint_every_s;
        }
    }
}

double virtual_worker::memory_gb() const
{
    double total = 0;
    for (auto const& [id, task] : m_tasks)
    {
        total += task.memory_gb();
    }
    return total;
}

} // namespace turmericswitch::bench
