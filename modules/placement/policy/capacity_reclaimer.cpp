#include "placement/policy/capacity_reclaimer.hpp"

#include <algorithm>
#include <limits>

namespace turmericswitch::placement
{

namespace
{

// Limits per tick, because each hold or preemption scans all workers.
constexpr std::size_t holds_per_tick = 2;
constexpr std::size_t preemptions_per_tick = 2;
// At most one worker in this many is held at a time.
constexpr std::size_t workers_per_hold = 8;
// A hold that did not lead to a placement in this time is released, so that
// another worker can be held.
constexpr core::duration max_hold_time = std::chrono::minutes(30);
// Cost of a stop and a restart on top of the lost work, in core seconds; it
// applies even right after a checkpoint.
constexpr double restart_cost = 10;

double ratio(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::int64_t>(1, whole));
}

} // namespace

capacity_reclaimer::capacity_reclaimer(planner_state& state,
                                       core::time_point now,
                                       tick_decisions& decisions)
    : m_state(state),
      m_now(now),
      m_decisions(decisions),
      m_holds_left(holds_per_tick),
      m_preemptions_left(preemptions_per_tick)
{
}

void capacity_reclaimer::release_holds(planner_state& state,
                                       core::time_point now)
{
    auto const is_over = [&](std::size_t slot)
    {
        auto& worker = state.workers.worker(slot);
        auto* task =
            worker.held_for ? state.workers.find(*worker.held_for) : nullptr;
        bool const queued =
            task != nullptr && task->phase == task_phase::queued;
        bool const unavailable = state.workers.available_share_of(slot) < 1 ||
                                 worker.health == worker_health::quarantined;
        bool const expired = queued && task->held_since + max_hold_time < now;
        if (queued && !unavailable && !expired)
        {
            return false;
        }
        worker.held_for.reset();
        if (task != nullptr)
        {
            task->hold_slot.reset();
        }
        return true;
    };
    std::erase_if(state.held_slots, is_over);
}

void capacity_reclaimer::release_hold_of(planner_state& state,
                                         std::optional<std::size_t> slot)
{
    if (!slot || state.held_slots.erase(*slot) == 0)
    {
        return;
    }
    auto& worker = state.workers.worker(*slot);
    if (auto* task = state.workers.find(*worker.held_for))
    {
        task->hold_slot.reset();
    }
    worker.held_for.reset();
}

void capacity_reclaimer::hold(task_entry& task,
                              std::size_t slot,
                              char const* reason)
{
    auto& worker = m_state.workers.worker(slot);
    worker.held_for = task.spec.job;
    task.hold_slot = slot;
    task.held_since = m_now;
    m_state.held_slots.insert(slot);
    m_decisions.records.push_back(
        job_record(task.spec.job,
                   "hold",
                   "worker " + worker.description.worker.value(),
                   {reason}));
}

bool capacity_reclaimer::can_hold(task_entry const& task,
                                  core::resources const& need,
                                  std::size_t slot,
                                  double& deficit) const
{
    auto const& worker = m_state.workers.worker(slot);
    auto const open = m_state.workers.available_capacity(worker);
    // The baselines keep no headroom for urgent jobs.
    bool const kept = !m_state.options.choose && task.is_batch() &&
                      m_state.headroom.is_kept(slot);
    if (open.cpu.value() < 0 || worker.held_for || worker.available_share < 1 ||
        kept || !core::fits_in(need, worker.description.capacity))
    {
        return false;
    }
    core::resources services;
    for (auto const& [job, other] : worker.tasks)
    {
        bool const stays = other->priority == core::priority_class::service;
        services += stays ? other->reserved : core::resources{};
        if (stays && m_state.rules.never_share(task.kind, other->kind))
        {
            return false;
        }
    }
    auto const& capacity = worker.description.capacity;
    auto const missing = core::component_max(need - open, core::resources{});
    deficit = std::max(ratio(missing.cpu.value(), capacity.cpu.value()),
                       ratio(missing.memory.value(), capacity.memory.value()));
    return core::fits_in(need, capacity - services);
}

void capacity_reclaimer::hold_worker(task_entry& task,
                                     core::resources const& need)
{
    auto const slots = m_state.workers.slots();
    auto const limit = std::max<std::size_t>(1, slots / workers_per_hold);
    if (m_holds_left == 0 || m_state.held_slots.size() >= limit)
    {
        return;
    }
    --m_holds_left;
    std::optional<std::size_t> best;
    double least = std::numeric_limits<double>::max();
    for (std::size_t slot = 0; slot < slots; ++slot)
    {
        double deficit = 0;
        if (can_hold(task, need, slot, deficit) && deficit < least)
        {
            least = deficit;
            best = slot;
        }
    }
    if (!best)
    {
        return;
    }
    hold(task, *best, "passed over by smaller jobs");
}

std::vector<task_entry*>
capacity_reclaimer::batch_by_eviction_cost(worker_entry const& worker) const
{
    std::vector<task_entry*> batch;
    for (auto const& [job, other] : worker.tasks)
    {
        if (other->is_batch() && other->is_active())
        {
            batch.push_back(other);
        }
    }
    std::sort(batch.begin(),
              batch.end(),
              [&](task_entry const* a, task_entry const* b)
              {
                  return std::pair(eviction_cost(m_now, *a), a->spec.job) <
                         std::pair(eviction_cost(m_now, *b), b->spec.job);
              });
    return batch;
}

std::vector<task_entry*> capacity_reclaimer::victims_on(
    core::resources const& need, std::size_t slot, double& cost) const
{
    auto const& worker = m_state.workers.worker(slot);
    auto open = m_state.workers.available_capacity(worker);
    for (auto const& [job, other] : worker.tasks)
    {
        open += other->is_active() ? core::resources{} : other->reserved;
    }
    std::vector<task_entry*> victims;
    cost = 0;
    for (auto* other : batch_by_eviction_cost(worker))
    {
        if (core::fits_in(need, open))
        {
            break;
        }
        open += other->reserved;
        cost += eviction_cost(m_now, *other) + restart_cost;
        victims.push_back(other);
    }
    if (!core::fits_in(need, open))
    {
        victims.clear();
    }
    return victims;
}

bool capacity_reclaimer::preempt_batch(task_entry& task,
                                       core::resources const& need)
{
    if (m_preemptions_left == 0)
    {
        return false;
    }
    --m_preemptions_left;
    std::vector<task_entry*> best;
    double least = std::numeric_limits<double>::max();
    for (std::size_t slot = 0; slot < m_state.workers.slots(); ++slot)
    {
        double deficit = 0;
        double cost = 0;
        if (!can_hold(task, need, slot, deficit))
        {
            continue;
        }
        auto victims = victims_on(need, slot, cost);
        if (!victims.empty() && cost < least)
        {
            least = cost;
            best = std::move(victims);
        }
    }
    if (best.empty())
    {
        return false;
    }
    auto const slot = best.front()->slot;
    auto& worker = m_state.workers.worker(slot);
    for (auto* victim : best)
    {
        evict(*victim,
              "makes room for job " + std::to_string(task.spec.job.value()),
              worker,
              m_decisions);
    }
    hold(task, slot, "batch on it is evicted for this job");
    return true;
}

} // namespace turmericswitch::placement
