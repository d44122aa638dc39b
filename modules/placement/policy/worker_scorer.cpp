#include "placement/policy/worker_scorer.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Weights of the cost. One unit is one service slowed down to twice its time.
constexpr double own_slowdown_weight = 0.3;
constexpr double load_weight = 0.1;
// Spread counts more than any plausible slowdown: losing a zone must not
// take all tasks of a service.
constexpr double same_zone_weight = 4.0;
constexpr double same_rack_weight = 1.5;
constexpr double same_worker_weight = 2.0;
// A probe may fail; batch takes that risk before services do.
constexpr double probe_penalty = 10.0;

double share_of(core::resources const& need, worker_entry const& worker)
{
    auto const capacity =
        std::max<std::int64_t>(1, worker.description.capacity.cpu.value());
    return static_cast<double>(need.cpu.value()) /
           static_cast<double>(capacity);
}

} // namespace

worker_scorer::worker_scorer(planner_state& state) : m_state(state) {}

std::vector<occupant> worker_scorer::neighbours(worker_entry const& worker,
                                                core::job_id except)
{
    std::vector<occupant> others;
    others.reserve(worker.tasks.size());
    for (auto const& [job, task] : worker.tasks)
    {
        if (job != except)
        {
            double const permille = task->cpu_permille;
            double const share = share_of(task->reserved, worker);
            others.push_back({job, task->kind, share * permille / 1000});
        }
    }
    return others;
}

obstacle worker_scorer::check(core::time_point now,
                              task_entry const& task,
                              core::resources const& need,
                              std::size_t slot,
                              bool patient)
{
    auto const& worker = m_state.workers.worker(slot);
    bool const urgent = task.priority == core::priority_class::urgent;
    bool const held = worker.held_for && *worker.held_for != task.spec.job;
    if (held && !urgent)
    {
        return obstacle::held;
    }
    if (auto const found = check_rules(task, worker); found != obstacle::none)
    {
        return found;
    }
    if (patient && task.failed_slots.contains(slot))
    {
        return obstacle::failed_there;
    }
    if (!m_state.options.choose && task.is_batch() &&
        takes_urgent_room(need, slot))
    {
        return obstacle::kept_for_urgent;
    }
    bool const gated = m_state.options.avoid_interference && patient;
    if (gated && task.is_batch() && disturbs_service(now, task, need, worker))
    {
        return obstacle::interference;
    }
    return obstacle::none;
}

obstacle worker_scorer::check_rules(task_entry const& task,
                                    worker_entry const& worker) const
{
    auto const& rules = m_state.rules;
    auto const limit = rules.limit_per_worker(task.kind);
    bool const sharing = rules.has_sharing_rule(task.kind);
    if (!limit && !sharing)
    {
        return obstacle::none;
    }
    std::uint32_t same = 0;
    for (auto const& [job, other] : worker.tasks)
    {
        same += other->kind == task.kind ? 1 : 0;
        if (sharing && rules.never_share(task.kind, other->kind))
        {
            return obstacle::sharing_rule;
        }
    }
    return limit && same >= *limit ? obstacle::kind_limit : obstacle::none;
}

bool worker_scorer::takes_urgent_room(core::resources const& need,
                                      std::size_t slot) const
{
    auto missing = m_state.spare.workers();
    auto const room = m_state.spare.need();
    auto const open =
        m_state.workers.open_capacity(m_state.workers.worker(slot));
    if (missing == 0 || core::fits_in(room, open - need))
    {
        return false;
    }
    if (!core::fits_in(room, open))
    {
        return m_state.spare.is_kept(slot);
    }
    auto const& index = m_state.workers.index();
    auto other = index.next_fit(0, room);
    while (other && missing > 0)
    {
        missing -= *other == slot ? 0 : 1;
        other = index.next_fit(*other + 1, room);
    }
    return missing > 0;
}

bool worker_scorer::disturbs_service(core::time_point now,
                                     task_entry const& task,
                                     core::resources const& need,
                                     worker_entry const& worker) const
{
    double const share = share_of(need, worker);
    double const load = fleet::load(worker) + share;
    for (auto const& [job, other] : worker.tasks)
    {
        if (other->is_batch())
        {
            continue;
        }
        if (other->high_reports > 0)
        {
            return true;
        }
        double const added = m_state.interference.contribution(
            other->kind, task.kind, share, load);
        double const others = m_state.interference.predict(
            now, other->kind, neighbours(worker, job), load);
        if (others + added > m_state.options.gate_slowdown)
        {
            return true;
        }
    }
    return false;
}

double worker_scorer::harm_to_services(task_entry const& task,
                                       double share,
                                       double load,
                                       worker_entry const& worker) const
{
    double harm = 0;
    for (auto const& [job, other] : worker.tasks)
    {
        if (!other->is_batch())
        {
            harm += m_state.interference.contribution(
                other->kind, task.kind, share, load);
        }
    }
    return harm;
}

double worker_scorer::spread_penalty(worker_entry const& worker,
                                     std::size_t slot) const
{
    auto const count = [](auto const& counts, auto const& key)
    {
        auto const found = counts.find(key);
        return found == counts.end() ? 0.0 : found->second;
    };
    return same_zone_weight * count(m_in_zone, worker.description.place.zone) +
           same_rack_weight * count(m_in_rack, worker.description.rack) +
           same_worker_weight * count(m_on_worker, slot);
}

double worker_scorer::cost(core::time_point now,
                           task_entry const& task,
                           core::resources const& need,
                           std::size_t slot)
{
    auto const& worker = m_state.workers.worker(slot);
    double const share = share_of(need, worker);
    double const load = fleet::load(worker) + share;
    double total = load_weight * load;
    if (worker.health == worker_health::probing && !task.is_batch())
    {
        total += probe_penalty;
    }
    if (m_state.options.avoid_interference)
    {
        double const weight = task.is_batch() ? own_slowdown_weight : 1.0;
        auto const others = neighbours(worker, task.spec.job);
        double const own =
            m_state.interference.predict(now, task.kind, others, load) - 1;
        total += weight * own;
        total += harm_to_services(task, share, load, worker);
    }
    if (m_state.options.spread_services &&
        task.priority == core::priority_class::service)
    {
        total += spread_penalty(worker, slot);
    }
    return total;
}

void worker_scorer::prepare(task_entry const& task)
{
    m_in_zone.clear();
    m_in_rack.clear();
    m_on_worker.clear();
    if (task.priority != core::priority_class::service ||
        !m_state.options.spread_services)
    {
        return;
    }
    for (auto const slot : m_state.workers.slots_of(task.kind))
    {
        auto const& worker = m_state.workers.worker(slot);
        m_in_zone[worker.description.place.zone] += 1;
        m_in_rack[worker.description.rack] += 1;
        m_on_worker[slot] += 1;
    }
}

} // namespace turmericswitch::placement
