#include "placement/policy/zone_evacuator.hpp"

#include <algorithm>
#include <tuple>

namespace turmericswitch::placement
{

namespace
{

// Evictions out of leaving zones per tick, so that the commands of one tick
// stay small; a zone of 110 workers is empty within a few seconds.
constexpr std::size_t moves_per_tick = 64;

} // namespace

zone_evacuator::zone_evacuator(planner_state& state) : m_state(state) {}

void zone_evacuator::apply(core::time_point now)
{
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto& worker = m_state.workers.worker(slot);
        if (!worker.present)
        {
            continue;
        }
        auto const& zone = worker.description.place.zone;
        double const share =
            m_state.zones.open_share(now, zone, m_state.options.ramp_step);
        bool const out = m_state.zones.out_since(zone).has_value();
        if (share != worker.open_share || out != worker.zone_out)
        {
            worker.open_share = share;
            worker.zone_out = out;
            m_state.workers.refresh(slot);
        }
    }
}

std::vector<zone_evacuator::leaving_task> zone_evacuator::leaving() const
{
    std::vector<leaving_task> tasks;
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
              [](leaving_task const& a, leaving_task const& b)
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

core::resources zone_evacuator::capacity_left() const
{
    core::resources left;
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        auto const& worker = m_state.workers.worker(slot);
        if (worker.zone_out)
        {
            for (auto const& [job, task] : worker.tasks)
            {
                // Already on its way out and needs a place elsewhere.
                left -= task->is_active() ? core::resources{} : task->reserved;
            }
            continue;
        }
        left += core::component_max(m_state.workers.open_capacity(worker),
                                    core::resources{});
    }
    return left;
}

bool zone_evacuator::goes_now(core::time_point now,
                              leaving_task const& item,
                              core::resources const& left) const
{
    auto const passed = now - item.out_since;
    auto const& task = *item.task;
    if (!m_state.options.paced_zone_moves ||
        passed >= m_state.options.zone_drain)
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
        whole.count() > 0 && remaining < m_state.options.zone_drain - passed;
    auto const& index = m_state.workers.index();
    return !ends_in_time && core::fits_in(task.reserved, left) &&
           index.next_fit(0, task.reserved).has_value();
}

void zone_evacuator::run(core::time_point now, tick_decisions& decisions)
{
    auto const tasks = leaving();
    if (tasks.empty())
    {
        return;
    }
    auto left = capacity_left();
    std::size_t moved = 0;
    for (auto const& item : tasks)
    {
        if (moved >= moves_per_tick || !goes_now(now, item, left))
        {
            continue;
        }
        left -= item.task->reserved;
        ++moved;
        evict(*item.task,
              "its availability zone leaves",
              m_state.workers.worker(item.task->slot),
              decisions);
    }
}

} // namespace turmericswitch::placement
