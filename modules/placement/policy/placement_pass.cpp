#include "placement/policy/placement_pass.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

constexpr std::size_t max_failed_searches = 64;
// A job is large if it needs more than a quarter of a worker or any
// accelerator.
constexpr std::int64_t large_job_divisor = 4;
constexpr std::size_t max_at_risk = 256;
// Batch counts as at risk of missing its deadline this long before its latest
// start, because declared run times are too short as often as too long.
constexpr core::duration risk_margin = std::chrono::minutes(10);
// An urgent job or service waits this long before batch is evicted for it.
constexpr core::duration preemption_delay = std::chrono::milliseconds(200);

core::resources smaller(core::resources const& a, core::resources const& b)
{
    return {std::min(a.cpu, b.cpu),
            std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::int64_t>(1, whole));
}

char const* text_of(reject_reason found)
{
    switch (found)
    {
    case reject_reason::held:
        return "free workers are held for larger jobs";
    case reject_reason::kept_for_urgent:
        return "the remaining capacity is kept for urgent jobs";
    case reject_reason::sharing_rule:
        return "a sharing rule excludes the workers with free capacity";
    case reject_reason::kind_limit:
        return "the kind limit excludes the workers with free capacity";
    case reject_reason::failed_on_worker:
        return "it failed earlier on the workers with free capacity";
    case reject_reason::interference:
        return "it would slow down services";
    case reject_reason::none:
        break;
    }
    return "no worker has enough free capacity";
}

} // namespace

core::resources reservation_of(planner_state const& state,
                               task_entry const& task)
{
    auto const& declared = task.spec.declared;
    auto const largest = state.workers.largest_fitting_capacity(declared);
    if (!state.options.learn_sizes || !largest)
    {
        return declared;
    }
    auto learned = state.usage.reservation(
        task.kind, task.spec.team, declared, task.is_batch());
    if (task.is_batch())
    {
        // Batch may use processors that other tasks reserve but leave idle.
        learned.cpu = core::millicores(
            static_cast<std::int64_t>(static_cast<double>(learned.cpu.value()) *
                                      state.processors.batch_factor()));
    }
    return smaller(learned, *largest);
}

placement_pass::placement_pass(planner_state& state,
                               core::time_point now,
                               tick_decisions& decisions)
    : m_state(state),
      m_now(now),
      m_decisions(decisions),
      m_scorer(state),
      m_reclaimer(state, now, decisions)
{
}

void placement_pass::run()
{
    m_state.headroom.begin_tick(m_now, m_state.workers);
    place_class(core::priority_class::urgent);
    place_class(core::priority_class::service);
    place_at_risk();
    place_class(core::priority_class::batch);
}

double placement_pass::dominant_share(core::team_id const& team) const
{
    auto const used = m_state.workers.charged(team);
    auto const quota = m_state.rules.quota(team);
    auto const whole = quota ? *quota : m_state.workers.total();
    double const accelerators =
        ratio(used.accelerators.value(), whole.accelerators.value());
    return std::max({ratio(used.cpu.value(), whole.cpu.value()),
                     ratio(used.memory.value(), whole.memory.value()),
                     accelerators});
}

void placement_pass::place_class(core::priority_class priority)
{
    team_order order;
    for (auto const& team : m_state.queue.teams(priority))
    {
        order.emplace(dominant_share(team), team);
    }
    while (!order.empty() && m_starts < m_state.options.starts_per_tick)
    {
        auto const team = order.begin()->second;
        order.erase(order.begin());
        if (place_next_job(priority, team))
        {
            order.emplace(dominant_share(team), team);
        }
    }
}

bool placement_pass::place_next_job(core::priority_class priority,
                                    core::team_id const& team)
{
    auto const depth = m_state.options.scan_depth;
    for (auto const job : m_state.queue.next_jobs(priority, team, depth))
    {
        if (place(*m_state.workers.find(job)))
        {
            return true;
        }
    }
    return false;
}

void placement_pass::place_at_risk()
{
    auto const limit = m_now + risk_margin;
    for (auto const job :
         m_state.queue.at_risk(m_now - risk_margin, limit, max_at_risk))
    {
        if (m_starts >= m_state.options.starts_per_tick)
        {
            return;
        }
        place(*m_state.workers.find(job));
    }
}

bool placement_pass::uses_soft_constraints(task_entry const& task) const
{
    bool const at_risk = task.latest_start <= m_now + risk_margin;
    auto const waited = m_now - task.queued_since;
    return !at_risk && waited < m_state.options.soft_constraint_timeout;
}

bool placement_pass::within_quota(task_entry const& task,
                                  core::resources const& charge) const
{
    auto const quota = m_state.rules.quota(task.spec.team);
    return !quota ||
           core::fits_in(m_state.workers.charged(task.spec.team) + charge,
                         *quota);
}

bool placement_pass::is_known_to_fail(failed_search const& wanted) const
{
    auto const covers = [&](failed_search const& earlier)
    {
        return earlier.kind == wanted.kind &&
               earlier.soft_constraints == wanted.soft_constraints &&
               earlier.urgent == wanted.urgent &&
               core::fits_in(earlier.need, wanted.need);
    };
    return std::any_of(
        m_failed_searches.begin(), m_failed_searches.end(), covers);
}

bool placement_pass::place(task_entry& task)
{
    if (task.not_before > m_now)
    {
        return false;
    }
    auto const need = reservation_of(m_state, task);
    auto const quota = m_state.rules.quota(task.spec.team);
    // A learned size above the whole quota must not make the job unplaceable.
    auto const charge = quota ? smaller(need, *quota) : need;
    if (!within_quota(task, charge))
    {
        wait(task, "the team's quota is used up");
        return false;
    }
    bool const urgent = task.priority == core::priority_class::urgent;
    failed_search const wanted{
        task.kind, uses_soft_constraints(task), urgent, need};
    bool const shares_result = !task.needs_own_search();
    if (shares_result && is_known_to_fail(wanted))
    {
        return false;
    }
    auto found = find_candidates(task, need);
    if (found.empty())
    {
        if (shares_result && m_failed_searches.size() < max_failed_searches)
        {
            m_failed_searches.push_back(wanted);
        }
        on_blocked(task, need);
        return false;
    }
    if (urgent)
    {
        m_state.headroom.started(need);
    }
    task.charged = charge;
    assign(task, need, found);
    return true;
}

std::vector<candidate>
placement_pass::find_candidates(task_entry const& task,
                                core::resources const& need)
{
    std::vector<candidate> found;
    m_last_reject_reason = reject_reason::none;
    m_scorer.prepare(task);
    auto const slots = m_state.workers.slots();
    if (slots == 0)
    {
        return found;
    }
    if (task.hold_slot)
    {
        collect(task, need, *task.hold_slot, *task.hold_slot + 1, found);
        if (!found.empty())
        {
            return found;
        }
    }
    // A start position derived from the job number spreads the scored workers
    // over the whole fleet; the baselines search from the first worker.
    bool const scored = !m_state.options.choose;
    auto const start =
        scored ? (task.spec.job.value() * 0x9e3779b97f4a7c15ULL >> 20) % slots
               : 0;
    collect(task, need, start, slots, found);
    collect(task, need, 0, start, found);
    return found;
}

void placement_pass::collect(task_entry const& task,
                             core::resources const& need,
                             std::size_t from,
                             std::size_t until,
                             std::vector<candidate>& found)
{
    bool const soft_constraints = uses_soft_constraints(task);
    auto const wanted = m_state.options.candidates;
    auto const& index = m_state.workers.index();
    auto slot = index.next_fit(from, need);
    while (slot && *slot < until && (wanted == 0 || found.size() < wanted))
    {
        auto const reason = m_scorer.check(task, need, *slot, soft_constraints);
        if (reason == reject_reason::none)
        {
            bool const scored = !m_state.options.choose;
            double const cost = scored ? m_scorer.cost(task, need, *slot) : 0;
            found.push_back({*slot, cost});
        }
        else
        {
            m_last_reject_reason = reason;
        }
        slot = index.next_fit(*slot + 1, need);
    }
}

void placement_pass::assign(task_entry& task,
                            core::resources const& need,
                            std::vector<candidate>& found)
{
    std::size_t chosen = 0;
    if (m_state.options.choose)
    {
        chosen = m_state.options.choose(found);
    }
    else
    {
        std::sort(
            found.begin(),
            found.end(),
            [](candidate const& a, candidate const& b)
            { return std::pair(a.cost, a.slot) < std::pair(b.cost, b.slot); });
    }
    m_state.queue.remove(task);
    auto const slot = found[chosen].slot;
    auto const charge = task.charged;
    m_state.workers.reserve(m_now, task, slot, need, charge);
    task.attempt = task.spec.next_attempt;
    task.phase = task_phase::starting;
    task.wait_reason = "";
    ++m_starts;
    core::place_task command;
    command.job = task.spec.job;
    command.attempt = task.attempt;
    command.worker = m_state.workers.worker(slot).description.worker;
    command.reserved = need;
    m_decisions.batch.placements.push_back(command);
    record(task, found, chosen);
}

void placement_pass::record(task_entry const& task,
                            std::vector<candidate> const& found,
                            std::size_t chosen)
{
    auto const name = [&](candidate const& item)
    {
        auto const& worker = m_state.workers.worker(item.slot);
        return "worker " + worker.description.worker.value();
    };
    std::vector<std::string> reasons;
    reasons.push_back("cost " + two_decimals(found[chosen].cost) + " of " +
                      std::to_string(found.size()) + " weighed");
    if (uses_soft_constraints(task) == false && task.is_batch())
    {
        reasons.emplace_back(
            "interference ignored: deadline at risk or long wait");
    }
    auto entry =
        job_record(task.spec.job, "place", name(found[chosen]), reasons);
    for (std::size_t i = 0; i < found.size() && entry.runners_up.size() < 2;
         ++i)
    {
        if (i != chosen)
        {
            entry.runners_up.push_back(
                {name(found[i]), "cost " + two_decimals(found[i].cost)});
        }
    }
    m_decisions.records.push_back(std::move(entry));
}

void placement_pass::wait(task_entry& task, char const* reason)
{
    if (task.wait_reason == reason)
    {
        return;
    }
    task.wait_reason = reason;
    m_decisions.records.push_back(
        job_record(task.spec.job, "wait", "", {reason}));
}

core::duration placement_pass::hold_wait(task_entry const& task,
                                         core::resources const& need) const
{
    auto const& options = m_state.options;
    if (!task.is_batch())
    {
        return options.urgent_hold_wait;
    }
    auto const whole = m_state.workers.largest_fitting_capacity(need);
    bool const large =
        whole &&
        (need.cpu.value() * large_job_divisor > whole->cpu.value() ||
         need.memory.value() * large_job_divisor > whole->memory.value() ||
         need.accelerators.value() > 0);
    return large ? options.large_hold_wait : options.small_hold_wait;
}

void placement_pass::on_blocked(task_entry& task, core::resources const& need)
{
    wait(task, text_of(m_last_reject_reason));
    auto const waited = m_now - task.queued_since;
    if (!m_state.options.choose && !task.is_batch() &&
        waited >= preemption_delay && !task.hold_slot &&
        m_reclaimer.preempt_batch(task, need))
    {
        return;
    }
    bool const capacity_missing =
        m_last_reject_reason == reject_reason::none ||
        m_last_reject_reason == reject_reason::sharing_rule ||
        m_last_reject_reason == reject_reason::held;
    if (capacity_missing && waited >= hold_wait(task, need) && !task.hold_slot)
    {
        m_reclaimer.hold_worker(task, need);
    }
}

} // namespace turmericswitch::placement
