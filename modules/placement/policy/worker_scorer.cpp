#include "placement/policy/worker_scorer.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

// Weights of the cost. One unit is one service at twice its normal run time.
constexpr double own_slowdown_weight = 0.3;
constexpr double load_weight = 0.1;
// Spread outweighs any plausible slowdown, so that the loss of a zone does not
// stop all tasks of a service.
constexpr double same_zone_weight = 4.0;
constexpr double same_rack_weight = 1.5;
constexpr double same_worker_weight = 2.0;
// The task that probes a worker after a quarantine may fail, so batch is
// preferred over services for it.
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

void worker_scorer::sum_kinds(std::size_t slot)
{
    if (m_summed_slot == slot)
    {
        return;
    }
    m_summed_slot = slot;
    m_kinds.clear();
    m_service_is_slow = false;
    auto const& worker = m_state.workers.worker(slot);
    for (auto const& [job, task] : worker.tasks)
    {
        add(*task, worker);
    }
}

void worker_scorer::add(task_entry const& task, worker_entry const& worker)
{
    auto const same = [&](kind_load const& item)
    { return item.kind == task.kind; };
    auto found = std::find_if(m_kinds.begin(), m_kinds.end(), same);
    if (found == m_kinds.end())
    {
        m_kinds.emplace_back();
        found = m_kinds.end() - 1;
        found->kind = task.kind;
    }
    double const share =
        share_of(task.reserved, worker) * task.cpu_permille / 1000;
    found->share += share;
    if (!task.is_batch())
    {
        ++found->services;
        found->smallest_service = std::min(found->smallest_service, share);
        m_service_is_slow = m_service_is_slow || task.slow_reports > 0;
    }
}

double worker_scorer::excess_slowdown(kind_index victim, double load) const
{
    double total = 0;
    for (auto const& item : m_kinds)
    {
        total += m_state.interference.contribution(
            victim, item.kind, item.share, load);
    }
    return total;
}

reject_reason worker_scorer::check(task_entry const& task,
                                   core::resources const& need,
                                   std::size_t slot,
                                   bool soft_constraints)
{
    auto const& worker = m_state.workers.worker(slot);
    bool const urgent = task.priority == core::priority_class::urgent;
    bool const held = worker.held_for && *worker.held_for != task.spec.job;
    if (held && !urgent)
    {
        return reject_reason::held;
    }
    if (auto const found = check_rules(task, worker);
        found != reject_reason::none)
    {
        return found;
    }
    if (soft_constraints && task.failed_slots.contains(slot))
    {
        return reject_reason::failed_on_worker;
    }
    if (!m_state.options.choose && task.is_batch() &&
        takes_urgent_headroom(need, slot))
    {
        return reject_reason::kept_for_urgent;
    }
    bool const limit_interference =
        m_state.options.avoid_interference && soft_constraints;
    if (limit_interference && task.is_batch() &&
        slows_service(task, need, slot))
    {
        return reject_reason::interference;
    }
    return reject_reason::none;
}

reject_reason worker_scorer::check_rules(task_entry const& task,
                                         worker_entry const& worker) const
{
    auto const& rules = m_state.rules;
    auto const limit = rules.limit_per_worker(task.kind);
    bool const sharing = rules.has_sharing_rule(task.kind);
    if (!limit && !sharing)
    {
        return reject_reason::none;
    }
    std::uint32_t same = 0;
    for (auto const& [job, other] : worker.tasks)
    {
        same += other->kind == task.kind ? 1 : 0;
        if (sharing && rules.never_share(task.kind, other->kind))
        {
            return reject_reason::sharing_rule;
        }
    }
    return limit && same >= *limit ? reject_reason::kind_limit
                                   : reject_reason::none;
}

bool worker_scorer::takes_urgent_headroom(core::resources const& need,
                                          std::size_t slot) const
{
    auto missing = m_state.headroom.worker_count();
    auto const job_need = m_state.headroom.need();
    auto const open =
        m_state.workers.available_capacity(m_state.workers.worker(slot));
    if (missing == 0 || core::fits_in(job_need, open - need))
    {
        return false;
    }
    if (!core::fits_in(job_need, open))
    {
        return m_state.headroom.is_kept(slot);
    }
    auto const& index = m_state.workers.index();
    auto other = index.next_fit(0, job_need);
    while (other && missing > 0)
    {
        missing -= *other == slot ? 0 : 1;
        other = index.next_fit(*other + 1, job_need);
    }
    return missing > 0;
}

bool worker_scorer::slows_service(task_entry const& task,
                                  core::resources const& need,
                                  std::size_t slot)
{
    sum_kinds(slot);
    if (m_service_is_slow)
    {
        return true;
    }
    auto const& worker = m_state.workers.worker(slot);
    double const share = share_of(need, worker);
    double const load = fleet::load(worker) + share;
    auto const& model = m_state.interference;
    auto const is_slowed = [&](kind_load const& item)
    {
        if (item.services == 0)
        {
            return false;
        }
        auto const victim = item.kind;
        // The sum includes the service itself, which does not slow itself
        // down.
        double const others =
            excess_slowdown(victim, load) -
            model.contribution(victim, victim, item.smallest_service, load);
        double const added = model.contribution(victim, task.kind, share, load);
        return 1 + others + added > m_state.options.max_service_slowdown;
    };
    return std::any_of(m_kinds.begin(), m_kinds.end(), is_slowed);
}

double worker_scorer::harm_to_services(task_entry const& task,
                                       double share,
                                       double load) const
{
    double harm = 0;
    for (auto const& item : m_kinds)
    {
        if (item.services > 0)
        {
            harm += item.services * m_state.interference.contribution(
                                        item.kind, task.kind, share, load);
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

double worker_scorer::cost(task_entry const& task,
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
        sum_kinds(slot);
        total += weight * excess_slowdown(task.kind, load);
        total += harm_to_services(task, share, load);
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
    m_summed_slot.reset();
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
