#include "placement/policy/pressure_controller.hpp"

#include "placement/policy/worker_scorer.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Growth is answered before the measured use reaches the reservation.
constexpr double growth_margin = 1.1;
// Growth is carried forward over the age of the measurement, at most this
// long, because a late sample shows less than is in use now.
constexpr core::duration longest_lookahead = std::chrono::seconds(60);
// Time from an order until its effect is in a measurement.
constexpr core::duration settle = std::chrono::seconds(5);
constexpr unsigned reports_to_act = 2;
constexpr std::uint32_t all_cpu = 1000;
constexpr std::uint32_t least_cpu = 250;
// Less excess slowdown than this is not worth a throttle or an eviction.
constexpr double least_harm = 0.02;
constexpr double newest_weight = 0.5;
// Throttles are lifted after this many calm hold times even if the model
// still expects harm, so that it gets a chance to be proven wrong.
constexpr int holds_to_retry = 4;

core::resources bounded(core::resources const& used,
                        core::resources const& capacity)
{
    auto const positive = core::component_max(used, core::resources{});
    return {std::min(positive.cpu, capacity.cpu),
            std::min(positive.memory, capacity.memory),
            std::min(positive.accelerators, capacity.accelerators)};
}

/// @return Memory that the task took since the measurement if it goes on
/// growing as before; 0 when it shrinks.
std::int64_t growth_since(core::time_point now,
                          core::time_point measured_at,
                          task_entry const& task,
                          core::resources const& used)
{
    auto const step = measured_at - task.last_measured;
    if (task.last_measured <= task.placed_at || step.count() <= 0)
    {
        return 0;
    }
    auto const ahead = std::min(now - measured_at, longest_lookahead);
    double const grown =
        static_cast<double>((used.memory - task.last_used.memory).value());
    double const steps =
        static_cast<double>(ahead.count()) / static_cast<double>(step.count());
    return static_cast<std::int64_t>(std::max(0.0, grown * steps));
}

/// @param used Use when it was measured.
/// @param ahead Use expected by now from a late measurement.
/// @return Use with margin, but not above a placed reservation that holds it.
std::int64_t
wanted_for(std::int64_t used, std::int64_t ahead, std::int64_t placed)
{
    auto const margin = static_cast<std::int64_t>(static_cast<double>(used) *
                                                  (growth_margin - 1));
    auto const wanted = ahead + margin;
    return usage_model::exceeds(ahead, placed) ? wanted
                                               : std::min(wanted, placed);
}

double load_of(std::vector<occupant> const& present)
{
    double load = 0;
    for (auto const& item : present)
    {
        load += item.share;
    }
    return load;
}

} // namespace

pressure_controller::pressure_controller(planner_state& state) : m_state(state)
{
}

void pressure_controller::learn(core::time_point now,
                                std::size_t worker_slot,
                                core::usage_sample const& sample)
{
    auto* task = m_state.workers.find(sample.job);
    auto const age = std::max(core::duration(0), sample.age);
    auto const measured_at = now - age;
    if (task == nullptr || !task->holds_capacity() ||
        task->slot != worker_slot || task->attempt != sample.attempt ||
        measured_at < task->placed_at || measured_at <= task->last_measured)
    {
        return;
    }
    auto const& capacity =
        m_state.workers.worker(worker_slot).description.capacity;
    learn_size(now, measured_at, *task, bounded(sample.used, capacity));
    if (sample.slowdown_permille && m_state.options.avoid_interference)
    {
        double const slowdown = *sample.slowdown_permille / 1000.0;
        learn_slowdown(measured_at, *task, std::max(1.0, slowdown));
    }
    task->last_measured = measured_at;
    m_state.under_pressure.insert(worker_slot);
}

void pressure_controller::learn_size(core::time_point now,
                                     core::time_point measured_at,
                                     task_entry& task,
                                     core::resources used)
{
    if (!m_state.options.learn_sizes)
    {
        return;
    }
    m_state.processors.measured(used.cpu, task.reserved.cpu);
    task.peak = core::component_max(task.peak, used);
    auto const demand = usage_model::demand(
        task.peak, task.placed, task.spec.declared, task.is_batch());
    if (demand != task.demand)
    {
        m_state.usage.change_demand(
            now, task.kind, task.spec.team, task.demand, demand);
        task.demand = demand;
    }
    auto const memory = used.memory.value();
    auto const ahead = memory + growth_since(now, measured_at, task, used);
    auto const cpu = used.cpu.value();
    task.wanted.cpu =
        core::millicores(wanted_for(cpu, cpu, task.placed.cpu.value()));
    task.wanted.memory =
        core::byte_count(wanted_for(memory, ahead, task.placed.memory.value()));
    task.wanted.accelerators = used.accelerators;
    if (task.is_batch() && used.cpu < task.reserved.cpu + task.reserved.cpu)
    {
        // Batch takes processors above its reservation only while idle.
        task.wanted.cpu = task.reserved.cpu;
    }
    auto const& worker = m_state.workers.worker(task.slot);
    task.wanted = bounded(task.wanted, worker.description.capacity);
    task.last_used = used;
    m_state.workers.raise(now, task, task.wanted);
}

void pressure_controller::learn_slowdown(core::time_point measured_at,
                                         task_entry& task,
                                         double slowdown)
{
    auto& worker = m_state.workers.worker(task.slot);
    auto present = worker.history.at(measured_at);
    if (present)
    {
        double const load = load_of(*present);
        std::erase_if(*present,
                      [&](occupant const& item)
                      { return item.job == task.spec.job; });
        m_state.interference.learn(
            measured_at, task.kind, *present, load, slowdown);
    }
    task.slowdown += newest_weight * (slowdown - task.slowdown);
    if (task.is_batch() || measured_at < worker.acted_at + settle)
    {
        return;
    }
    if (slowdown > m_state.options.high_slowdown)
    {
        ++task.high_reports;
    }
    else if (slowdown < m_state.options.low_slowdown)
    {
        task.high_reports = 0;
    }
}

void pressure_controller::run(core::time_point now, tick_decisions& decisions)
{
    auto const settled = [&](std::size_t slot)
    {
        auto& worker = m_state.workers.worker(slot);
        if (!worker.present)
        {
            return true;
        }
        bool busy = m_state.options.learn_sizes &&
                    relieve_capacity(now, worker, decisions);
        if (m_state.options.avoid_interference)
        {
            busy = relieve_services(now, worker, decisions) || busy;
            busy = lift_throttles(now, worker, decisions) || busy;
        }
        return !busy;
    };
    std::erase_if(m_state.under_pressure, settled);
}

bool pressure_controller::relieve_capacity(core::time_point now,
                                           worker_entry& worker,
                                           tick_decisions& decisions)
{
    core::resources missing = worker.reserved - worker.description.capacity;
    missing = core::component_max(missing, core::resources{});
    core::resources coming;
    task_entry* cheapest = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        if (task->is_active() &&
            !m_state.workers.raise(now, *task, task->wanted))
        {
            auto gap = core::component_max(task->wanted - task->reserved,
                                           core::resources{});
            // Missing processors only slow batch down.
            gap.cpu = task->is_batch() ? core::millicores(0) : gap.cpu;
            missing += gap;
        }
        coming += task->is_active() ? core::resources{} : task->reserved;
        bool const candidate = task->is_batch() && task->is_active();
        if (candidate &&
            (cheapest == nullptr ||
             work_at_stake(now, *task) < work_at_stake(now, *cheapest)))
        {
            cheapest = task;
        }
    }
    if (missing == core::resources{})
    {
        return false;
    }
    if (!core::fits_in(missing, coming) && cheapest != nullptr)
    {
        evict(*cheapest,
              "tasks on its worker use more than they reserved",
              worker,
              decisions);
    }
    return true;
}

double pressure_controller::harm(task_entry const& victim,
                                 task_entry const& batch,
                                 worker_entry const& worker,
                                 std::uint32_t permille) const
{
    auto const capacity =
        std::max<std::int64_t>(1, worker.description.capacity.cpu.value());
    double const share = static_cast<double>(batch.reserved.cpu.value()) /
                         static_cast<double>(capacity) * permille / 1000;
    return m_state.interference.contribution(
        victim.kind, batch.kind, share, fleet::load(worker));
}

void pressure_controller::throttle(core::time_point now,
                                   task_entry& task,
                                   worker_entry& worker,
                                   std::uint32_t permille,
                                   std::string const& reason,
                                   tick_decisions& decisions)
{
    task.cpu_permille = permille;
    auto const capacity =
        std::max<std::int64_t>(1, worker.description.capacity.cpu.value());
    double const share = static_cast<double>(task.reserved.cpu.value()) /
                         static_cast<double>(capacity);
    worker.history.resized(now, task.spec.job, share * permille / 1000);
    worker.acted_at = now;
    worker.calm_since = core::time_point::max();
    core::task_order order;
    order.job = task.spec.job;
    order.attempt = task.attempt;
    order.action = core::task_action::throttle;
    order.cpu_permille = permille;
    decisions.throttles.push_back({worker.description.worker, order});
    decisions.records.push_back(
        job_record(task.spec.job,
                   "throttle",
                   "to " + std::to_string(permille / 10) + "%",
                   {reason}));
}

bool pressure_controller::relieve_services(core::time_point now,
                                           worker_entry& worker,
                                           tick_decisions& decisions)
{
    task_entry* victim = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        bool const slow =
            !task->is_batch() && task->high_reports >= reports_to_act;
        if (slow && (victim == nullptr || task->slowdown > victim->slowdown))
        {
            victim = task;
        }
    }
    if (victim == nullptr)
    {
        return false;
    }
    task_entry* worst = nullptr;
    double most = least_harm;
    task_entry* cheapest = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        if (!task->is_batch() || !task->is_active())
        {
            continue;
        }
        double const now_harm =
            harm(*victim, *task, worker, task->cpu_permille);
        if (task->cpu_permille > least_cpu && now_harm > most)
        {
            most = now_harm;
            worst = task;
        }
        if (now_harm > least_harm &&
            (cheapest == nullptr ||
             work_at_stake(now, *task) < work_at_stake(now, *cheapest)))
        {
            cheapest = task;
        }
    }
    std::string const reason =
        "job " + std::to_string(victim->spec.job.value()) + " runs at " +
        two_decimals(victim->slowdown) + " times its time";
    if (worst != nullptr)
    {
        throttle(
            now, *worst, worker, worst->cpu_permille / 2, reason, decisions);
    }
    else if (cheapest != nullptr)
    {
        evict(*cheapest, reason, worker, decisions);
        worker.acted_at = now;
    }
    for (auto const& [job, task] : worker.tasks)
    {
        task->high_reports = 0;
    }
    return true;
}

bool pressure_controller::lift_throttles(core::time_point now,
                                         worker_entry& worker,
                                         tick_decisions& decisions)
{
    double slowest = 1;
    double added = 0;
    task_entry* most_throttled = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        if (!task->is_batch())
        {
            slowest = std::max(slowest, task->slowdown);
        }
        else if (task->is_active() && task->cpu_permille < all_cpu &&
                 (most_throttled == nullptr ||
                  task->cpu_permille < most_throttled->cpu_permille))
        {
            most_throttled = task;
        }
    }
    if (most_throttled == nullptr || slowest > m_state.options.low_slowdown)
    {
        worker.calm_since = core::time_point::max();
        return most_throttled != nullptr;
    }
    worker.calm_since = std::min(worker.calm_since, now);
    auto const permille = most_throttled->cpu_permille * 2;
    for (auto const& [job, task] : worker.tasks)
    {
        if (!task->is_batch())
        {
            added = std::max(
                added, harm(*task, *most_throttled, worker, permille / 2));
        }
    }
    auto const calm = now - worker.calm_since;
    auto const hold = m_state.options.throttle_hold;
    bool const safe = slowest + added < m_state.options.high_slowdown;
    if (calm >= hold && (safe || calm >= hold * holds_to_retry))
    {
        throttle(now,
                 *most_throttled,
                 worker,
                 std::min(permille, all_cpu),
                 "services on its worker run at full speed",
                 decisions);
    }
    return true;
}

} // namespace turmericswitch::placement
