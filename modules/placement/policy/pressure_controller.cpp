#include "placement/policy/pressure_controller.hpp"

#include "placement/policy/worker_scorer.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Reservations are raised before the measured use reaches them.
constexpr double growth_margin = 1.1;
// A sample is late and shows less than is in use now, so growth is extrapolated
// over the age of the sample, up to this limit.
constexpr core::duration max_lookahead = std::chrono::seconds(60);
// Time until a measurement shows the effect of an order.
constexpr core::duration effect_delay = std::chrono::seconds(5);
constexpr unsigned slow_reports_to_act = 2;
constexpr std::uint32_t full_cpu_permille = 1000;
constexpr std::uint32_t min_cpu_permille = 250;
// A task that causes less excess slowdown is not throttled or evicted.
constexpr double min_harm = 0.02;
constexpr double newest_sample_weight = 0.5;
// Throttles are lifted after this many times the normal delay even if the model
// still predicts harm, so that new measurements can correct the model.
constexpr int calm_periods_to_retry = 4;

core::resources bounded(core::resources const& used,
                        core::resources const& capacity)
{
    auto const positive = core::component_max(used, core::resources{});
    return {std::min(positive.cpu, capacity.cpu),
            std::min(positive.memory, capacity.memory),
            std::min(positive.accelerators, capacity.accelerators)};
}

/// @return Expected growth of memory use since the measurement, if the task
/// keeps growing as before; 0 if it shrinks.
std::int64_t expected_growth(core::time_point now,
                             core::time_point measured_at,
                             task_entry const& task,
                             core::resources const& used)
{
    auto const step = measured_at - task.last_measured;
    if (task.last_measured <= task.placed_at || step.count() <= 0)
    {
        return 0;
    }
    auto const ahead = std::min(now - measured_at, max_lookahead);
    double const grown =
        static_cast<double>((used.memory - task.last_used.memory).value());
    double const steps =
        static_cast<double>(ahead.count()) / static_cast<double>(step.count());
    return static_cast<std::int64_t>(std::max(0.0, grown * steps));
}

/// @param used Measured use.
/// @param ahead Use expected by now, extrapolated from the measurement.
/// @return Use with margin, but no more than a sufficient initial reservation.
std::int64_t wanted_for(std::int64_t used,
                        std::int64_t ahead,
                        std::int64_t initial_reservation)
{
    auto const margin = static_cast<std::int64_t>(static_cast<double>(used) *
                                                  (growth_margin - 1));
    auto const wanted = ahead + margin;
    return usage_model::exceeds(ahead, initial_reservation)
               ? wanted
               : std::min(wanted, initial_reservation);
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
    auto const demand = usage_model::demand(task.peak,
                                            task.initial_reservation,
                                            task.spec.declared,
                                            task.is_batch());
    if (demand != task.demand)
    {
        m_state.usage.update_demand(
            now, task.kind, task.spec.team, task.demand, demand);
        task.demand = demand;
    }
    auto const memory = used.memory.value();
    auto const ahead = memory + expected_growth(now, measured_at, task, used);
    auto const cpu = used.cpu.value();
    task.wanted.cpu = core::millicores(
        wanted_for(cpu, cpu, task.initial_reservation.cpu.value()));
    task.wanted.memory = core::byte_count(
        wanted_for(memory, ahead, task.initial_reservation.memory.value()));
    task.wanted.accelerators = used.accelerators;
    if (task.is_batch() && used.cpu < task.reserved.cpu + task.reserved.cpu)
    {
        // Batch gets processors above its reservation only while they are
        // idle, so moderate excess use doesn't raise the reservation.
        task.wanted.cpu = task.reserved.cpu;
    }
    auto const& worker = m_state.workers.worker(task.slot);
    task.wanted = bounded(task.wanted, worker.description.capacity);
    task.last_used = used;
    m_state.workers.grow_reservation(now, task, task.wanted);
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
    task.slowdown += newest_sample_weight * (slowdown - task.slowdown);
    if (task.is_batch() || measured_at < worker.last_action_at + effect_delay)
    {
        return;
    }
    if (slowdown > m_state.options.high_slowdown)
    {
        ++task.slow_reports;
    }
    else if (slowdown < m_state.options.low_slowdown)
    {
        task.slow_reports = 0;
    }
}

void pressure_controller::run(core::time_point now, tick_decisions& decisions)
{
    auto const is_relieved = [&](std::size_t slot)
    {
        auto& worker = m_state.workers.worker(slot);
        if (!worker.present)
        {
            return true;
        }
        bool busy = m_state.options.learn_sizes &&
                    relieve_shortage(now, worker, decisions);
        if (m_state.options.avoid_interference)
        {
            busy = relieve_slow_services(now, worker, decisions) || busy;
            busy = lift_throttles(now, worker, decisions) || busy;
        }
        return !busy;
    };
    std::erase_if(m_state.under_pressure, is_relieved);
}

bool pressure_controller::relieve_shortage(core::time_point now,
                                           worker_entry& worker,
                                           tick_decisions& decisions)
{
    core::resources missing = worker.reserved - worker.description.capacity;
    missing = core::component_max(missing, core::resources{});
    core::resources being_freed;
    task_entry* cheapest = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        if (task->is_active() &&
            !m_state.workers.grow_reservation(now, *task, task->wanted))
        {
            auto gap = core::component_max(task->wanted - task->reserved,
                                           core::resources{});
            // A shortage of processors only slows batch down.
            gap.cpu = task->is_batch() ? core::millicores(0) : gap.cpu;
            missing += gap;
        }
        being_freed += task->is_active() ? core::resources{} : task->reserved;
        bool const candidate = task->is_batch() && task->is_active();
        if (candidate &&
            (cheapest == nullptr ||
             eviction_cost(now, *task) < eviction_cost(now, *cheapest)))
        {
            cheapest = task;
        }
    }
    if (missing == core::resources{})
    {
        return false;
    }
    if (!core::fits_in(missing, being_freed) && cheapest != nullptr)
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
    worker.last_action_at = now;
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

bool pressure_controller::relieve_slow_services(core::time_point now,
                                                worker_entry& worker,
                                                tick_decisions& decisions)
{
    task_entry* victim = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        bool const slow =
            !task->is_batch() && task->slow_reports >= slow_reports_to_act;
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
    double most = min_harm;
    task_entry* cheapest = nullptr;
    for (auto const& [job, task] : worker.tasks)
    {
        if (!task->is_batch() || !task->is_active())
        {
            continue;
        }
        double const now_harm =
            harm(*victim, *task, worker, task->cpu_permille);
        if (task->cpu_permille > min_cpu_permille && now_harm > most)
        {
            most = now_harm;
            worst = task;
        }
        if (now_harm > min_harm &&
            (cheapest == nullptr ||
             eviction_cost(now, *task) < eviction_cost(now, *cheapest)))
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
        worker.last_action_at = now;
    }
    for (auto const& [job, task] : worker.tasks)
    {
        task->slow_reports = 0;
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
        else if (task->is_active() && task->cpu_permille < full_cpu_permille &&
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
    auto const delay = m_state.options.throttle_lift_delay;
    bool const safe = slowest + added < m_state.options.high_slowdown;
    if (calm >= delay && (safe || calm >= delay * calm_periods_to_retry))
    {
        throttle(now,
                 *most_throttled,
                 worker,
                 std::min(permille, full_cpu_permille),
                 "services on its worker run at normal speed",
                 decisions);
    }
    return true;
}

} // namespace turmericswitch::placement
