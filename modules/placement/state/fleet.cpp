#include "placement/state/fleet.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::placement
{

namespace
{

core::resources const unavailable{
    core::millicores(-1), core::byte_count(-1), core::accelerator_count(-1)};

core::resources component_min(core::resources const& a,
                              core::resources const& b)
{
    return {std::min(a.cpu, b.cpu),
            std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

core::resources scaled(core::resources const& amount, double share)
{
    auto const part = [share](std::int64_t value)
    { return static_cast<std::int64_t>(static_cast<double>(value) * share); };
    return {core::millicores(part(amount.cpu.value())),
            core::byte_count(part(amount.memory.value())),
            core::accelerator_count(part(amount.accelerators.value()))};
}

double cpu_share(core::resources const& part, core::resources const& whole)
{
    auto const capacity = std::max<std::int64_t>(1, whole.cpu.value());
    return static_cast<double>(part.cpu.value()) /
           static_cast<double>(capacity);
}

} // namespace

std::size_t fleet::put_worker(core::worker_description const& description)
{
    auto const known = m_slots.find(description.worker);
    std::size_t slot = 0;
    if (known != m_slots.end())
    {
        slot = known->second;
        count_capacity(m_workers[slot].description.capacity, -1);
    }
    else if (!m_free_slots.empty())
    {
        slot = m_free_slots.back();
        m_free_slots.pop_back();
    }
    else
    {
        slot = m_workers.size();
        m_workers.emplace_back();
    }
    m_slots[description.worker] = slot;
    auto& entry = m_workers[slot];
    entry.description = description;
    entry.present = true;
    count_capacity(description.capacity, 1);
    update_index(slot);
    return slot;
}

void fleet::remove_worker(std::size_t slot)
{
    auto& entry = m_workers[slot];
    assert(entry.tasks.empty());
    count_capacity(entry.description.capacity, -1);
    m_slots.erase(entry.description.worker);
    entry = worker_entry{};
    m_index.set(slot, unavailable);
    m_free_slots.push_back(slot);
    for (auto& [job, task] : m_jobs)
    {
        // The slot may be reused for another worker.
        task.failed_slots.erase(slot);
    }
}

void fleet::count_capacity(core::resources const& capacity, int change)
{
    auto& count = m_capacities[capacity];
    count = static_cast<std::size_t>(static_cast<std::int64_t>(count) + change);
    if (count == 0)
    {
        m_capacities.erase(capacity);
    }
    if (change > 0)
    {
        m_total += capacity;
    }
    else
    {
        m_total -= capacity;
    }
}

std::optional<std::size_t> fleet::slot_of(core::worker_id const& worker) const
{
    auto const found = m_slots.find(worker);
    return found == m_slots.end() ? std::nullopt : std::optional(found->second);
}

worker_entry& fleet::worker(std::size_t slot)
{
    return m_workers[slot];
}

worker_entry const& fleet::worker(std::size_t slot) const
{
    return m_workers[slot];
}

std::size_t fleet::slots() const noexcept
{
    return m_workers.size();
}

task_entry* fleet::find(core::job_id job)
{
    auto const found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

task_entry& fleet::add_job(core::job_id job)
{
    return m_jobs[job];
}

void fleet::remove_job(core::job_id job)
{
    m_jobs.erase(job);
}

std::map<core::job_id, task_entry>& fleet::jobs() noexcept
{
    return m_jobs;
}

void fleet::reserve(core::time_point now,
                    task_entry& task,
                    std::size_t slot,
                    core::resources const& reserved,
                    core::resources const& charged)
{
    assert(!task.holds_capacity());
    auto& entry = m_workers[slot];
    task.slot = slot;
    task.reserved = reserved;
    task.initial_reservation = reserved;
    task.charged = charged;
    task.peak = {};
    task.demand = {};
    task.wanted = {};
    task.last_used = {};
    task.last_measured = {};
    task.placed_at = now;
    task.checkpointed_at = now;
    task.cpu_permille = 1000;
    task.slowdown = 1;
    task.slow_reports = 0;
    task.counts_as_good = false;
    entry.reserved += reserved;
    entry.tasks.emplace(task.spec.job, &task);
    double const share = cpu_share(reserved, entry.description.capacity);
    entry.history.started(now, {task.spec.job, task.kind, share});
    if (entry.health == worker_health::probing)
    {
        entry.probe = task.spec.job;
    }
    m_charged[task.spec.team] += charged;
    m_kind_slots[task.kind].insert(slot);
    update_index(slot);
}

void fleet::release(core::time_point now, task_entry& task)
{
    if (!task.holds_capacity())
    {
        return;
    }
    auto& entry = m_workers[task.slot];
    entry.reserved -= task.reserved;
    entry.tasks.erase(task.spec.job);
    entry.history.ended(now, task.spec.job);
    if (entry.probe == task.spec.job)
    {
        entry.probe.reset();
    }
    auto& same_kind = m_kind_slots[task.kind];
    same_kind.erase(same_kind.find(task.slot));
    auto& charged = m_charged[task.spec.team];
    charged -= task.charged;
    if (charged == core::resources{})
    {
        m_charged.erase(task.spec.team);
    }
    task.attempt = core::attempt_number(0);
    update_index(task.slot);
}

bool fleet::grow_reservation(core::time_point now,
                             task_entry& task,
                             core::resources const& wanted)
{
    auto& entry = m_workers[task.slot];
    auto const target = core::component_max(
        task.reserved, component_min(wanted, entry.description.capacity));
    auto const free = core::component_max(
        entry.description.capacity - entry.reserved, core::resources{});
    auto const step = component_min(target - task.reserved, free);
    if (step != core::resources{})
    {
        task.reserved += step;
        entry.reserved += step;
        double const share =
            cpu_share(task.reserved, entry.description.capacity);
        entry.history.resized(now, task.spec.job, share);
        update_index(task.slot);
    }
    return core::fits_in(wanted, task.reserved);
}

bool fleet::is_schedulable(worker_entry const& worker) const
{
    bool const probe_taken =
        worker.health == worker_health::probing && worker.probe.has_value();
    return worker.present && !worker.lost && !worker.zone_out &&
           worker.health != worker_health::quarantined && !probe_taken;
}

core::resources fleet::available_capacity(worker_entry const& worker) const
{
    if (!is_schedulable(worker))
    {
        return unavailable;
    }
    auto const& capacity = worker.description.capacity;
    auto const open = worker.available_share >= 1
                          ? capacity
                          : scaled(capacity, worker.available_share);
    return open - worker.reserved;
}

std::size_t fleet::schedulable_workers() const
{
    auto const open = [this](worker_entry const& worker)
    { return is_schedulable(worker); };
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), open));
}

void fleet::update_index(std::size_t slot)
{
    m_index.set(slot, available_capacity(m_workers[slot]));
}

double fleet::available_share_of(std::size_t slot) const
{
    auto const& entry = m_workers[slot];
    bool const unavailable = !entry.present || entry.lost || entry.zone_out;
    return unavailable ? 0 : entry.available_share;
}

double fleet::load(worker_entry const& worker)
{
    return cpu_share(worker.reserved, worker.description.capacity);
}

std::multiset<std::size_t> const& fleet::slots_of(kind_index kind) const
{
    static std::multiset<std::size_t> const none;
    auto const found = m_kind_slots.find(kind);
    return found == m_kind_slots.end() ? none : found->second;
}

capacity_index const& fleet::index() const noexcept
{
    return m_index;
}

core::resources fleet::charged(core::team_id const& team) const
{
    auto const found = m_charged.find(team);
    return found == m_charged.end() ? core::resources{} : found->second;
}

core::resources fleet::total() const noexcept
{
    return m_total;
}

std::optional<core::resources>
fleet::largest_fitting_capacity(core::resources const& need) const
{
    std::optional<core::resources> best;
    for (auto const& [capacity, count] : m_capacities)
    {
        if (core::fits_in(need, capacity) &&
            (!best || capacity.memory > best->memory))
        {
            best = capacity;
        }
    }
    return best;
}

} // namespace turmericswitch::placement
