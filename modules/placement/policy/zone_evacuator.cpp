#include "placement/policy/zone_evacuator.hpp"

#include <algorithm>
#include <tuple>

namespace turmericswitch::placement
{

namespace
{

// Limits the size of one tick's batch of commands; a zone of 110 workers is
// still empty within a few seconds.
constexpr std::size_t evictions_per_tick = 64;

} // namespace

zone_evacuator::zone_evacuator(planner_state& state) : m_state(state) {}

void zone_evacuator::update_workers(core::time_point now)
{
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto& worker = m_state.workers.worker(slot);
        if (!worker.present)
        {
            continue;
        }
        auto const& zone = worker.description.place.zone;
        double const share = m_state.zones.available_share(
            now, zone, m_state.options.zone_ramp_step);
        bool const out = m_state.zones.out_since(zone).has_value();
        if (share != worker.available_share || out != worker.zone_out)
        {
            worker.available_share = share;
            worker.zone_out = out;
            m_state.workers.update_index(slot);
        }
    }
}

std::vector<zone_evacuator::evacuating_task>
zone_evacuator::tasks_to_evacuate() const
{
    std::vector<evacuating_task> tasks;
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto const& worker = m_state.workers.worker(slot);
        if (!worker.present || !worker.zone_out)
        {
            continue;
        }
        auto const since =
            m_state.zones.out_since(worker.description.place.zone);
        for (auto const& [job, task] : worker.tasks)
        {
            if (task->is_active() && since)
            {
                tasks.push_back({task, *since});
            }
        }
    }
    std::sort(tasks.begin(),
              tasks.end(),
              [](evacuating_task const& a, evacuating_task const& b)
              {
                  return std::tuple(a.task->priority,
                                    a.task->latest_start,
                                    a.task->spec.job) <
                         std::tuple(b.task->priority,
                                    b.task->latest_start,
                                    b.task->spec.job);
              });
    return tasks;
}

core::resources zone_evacuator::remaining_capacity() const
{
    core::resources left;
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto const& worker = m_state.workers.worker(slot);
        if (worker.zone_out)
        {
            for (auto const& [job, task] : worker.tasks)
            {
                // Already being stopped; will need capacity elsewhere.
                left -= task->is_active() ? core::resources{} : task->reserved;
            }
            continue;
        }
        left += core::component_max(m_state.workers.available_capacity(worker),
                                    core::resources{});
    }
    return left;
}

bool zone_evacuator::should_evict(core::time_point now,
                                  evacuating_task const& item,
                                  core::resources const& left) const
{
    auto const passed = now - item.out_since;
    auto const& task = *item.task;
    if (!m_state.options.gradual_evacuation ||
        passed >= m_state.options.zone_drain_time)
    {
        return true;
    }
    if (!task.is_batch())
    {
        return true;
    }
    auto const whole = m_state.run_times.estimate(
        task.kind, task.spec.team, task.spec.expected_run_time);
    auto const remaining = whole - (now - task.placed_at);
    bool const ends_in_time =
        whole.count() > 0 &&
        remaining < m_state.options.zone_drain_time - passed;
    auto const& index = m_state.workers.index();
    return !ends_in_time && core::fits_in(task.reserved, left) &&
           index.next_fit(0, task.reserved).has_value();
}

void zone_evacuator::run(core::time_point now, tick_decisions& decisions)
{
    auto const tasks = tasks_to_evacuate();
    if (tasks.empty())
    {
        return;
    }
    auto left = remaining_capacity();
    std::size_t evicted = 0;
    for (auto const& item : tasks)
    {
        if (evicted >= evictions_per_tick || !should_evict(now, item, left))
        {
            continue;
        }
        left -= item.task->reserved;
        ++evicted;
        evict(*item.task,
              "its availability zone leaves",
              m_state.workers.worker(item.task->slot),
              decisions);
    }
}

} // namespace turmericswitch::placement
