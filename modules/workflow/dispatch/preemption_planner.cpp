#include "workflow/dispatch/preemption_planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Time between two searches: an eviction takes about that long, and its room
/// must be used before more is made.
constexpr core::duration search_interval = std::chrono::milliseconds(500);

/// A stage takes the place of others only if it has waited this long: urgent
/// tasks must start within 1.1 s, and an eviction takes half a second.
constexpr core::duration min_wait = std::chrono::milliseconds(200);

/// Stages for which a search evicts.
constexpr std::size_t max_claimants = 4;

/// Stages that a search examines, which bounds its time.
constexpr std::size_t max_examined = 16;

/// Most victims for one task: more would lose more than the task gains.
constexpr std::size_t max_victims = 3;

/// @return The stage with one of its tasks that is not placed; no tasks if all
///         are.
pending_stage unplaced_task(pending_stage const& pending,
                            std::set<core::task_run> const& placed)
{
    auto one = pending;
    one.runs.clear();
    for (auto const& run : pending.runs)
    {
        if (!placed.contains(run))
        {
            one.runs = {run};
            break;
        }
    }
    return one;
}

} // namespace

preemption_planner::preemption_planner(workflow_table const& table,
                                       worker_fleet const& fleet,
                                       job_accounts const& accounts,
                                       planner_hooks hooks)
    : m_table(table),
      m_fleet(fleet),
      m_accounts(accounts),
      m_hooks(std::move(hooks))
{
}

void preemption_planner::observe_checkpoints(core::time_point now)
{
    std::map<core::task_run, saved_state> saved;
    for (auto const& [worker, view] : m_fleet.all())
    {
        for (auto const& [run, task] : view.running)
        {
            auto const known = m_saved.find(run);
            bool const is_same = known != m_saved.end() &&
                                 known->second.checkpoint == task.checkpoint;
            saved[run] =
                is_same ? known->second : saved_state{task.checkpoint, now};
        }
    }
    m_saved = std::move(saved);
}

bool preemption_planner::is_served(stage_ref const& claimant) const
{
    return std::any_of(m_claims.begin(),
                       m_claims.end(),
                       [&claimant](auto const& item)
                       { return item.second == claimant; });
}

void preemption_planner::drop_ended()
{
    std::erase_if(m_claims,
                  [this](auto const& item)
                  {
                      auto const& run = item.first;
                      auto const* const task = m_table.find_task(run.task);
                      return task == nullptr || !task->placed ||
                             task->attempt != run.attempt;
                  });
    std::erase_if(m_evicted,
                  [this](core::workflow_id const& id)
                  { return !m_table.active().contains(id); });
}

std::vector<overload::eviction_candidate>
preemption_planner::candidates_on(core::time_point now,
                                  core::worker_id const& worker) const
{
    std::vector<overload::eviction_candidate> found;
    for (auto const& [run, life] : m_table.held_on(worker))
    {
        auto const* const rank = m_accounts.rank(run.task.workflow);
        auto const* const stage = m_table.find_stage(run.task);
        auto const saved = m_saved.find(run);
        // Runs that are not listed yet are about to start.
        if (rank == nullptr || stage == nullptr || saved == m_saved.end() ||
            !m_hooks.is_evictable(run))
        {
            continue;
        }
        found.push_back({run,
                         m_table.find(run.task.workflow)->queue.priority,
                         rank->expected,
                         stage->need.cpu,
                         now - saved->second.since,
                         stage->behaviour.checkpoints,
                         stage->behaviour.gang,
                         m_evicted.contains(run.task.workflow)});
    }
    return found;
}

std::vector<overload::eviction_candidate>
preemption_planner::victims_on(core::time_point now,
                               candidate_worker const& worker,
                               pending_stage const& claimant) const
{
    constexpr std::int64_t percent = 100;
    auto victims = overload::choose_victims(
        {claimant.priority, overload::prospect::in_time},
        candidates_on(now, worker.worker));
    victims.resize(std::min(victims.size(), max_victims));
    auto after = worker;
    for (std::size_t i = 0; i < victims.size(); ++i)
    {
        auto const& victim = victims[i];
        auto const& stage = *m_table.find_stage(victim.run.task);
        std::int64_t const pace = m_hooks.pace(worker.worker, victim.run);
        after.free += reserved_by(stage);
        after.spare +=
            core::millicores(stage.need.cpu.value() * pace / percent);
        --after.runs;
        auto trial = after;
        if (!plan_stages({&claimant}, {&trial}, 1, m_hooks.tail).empty())
        {
            victims.resize(i + 1);
            return victims;
        }
    }
    return {};
}

std::vector<preemption> preemption_planner::plan_for(
    core::time_point now,
    pending_stage const& claimant,
    std::vector<candidate_worker*> const& workers) const
{
    std::vector<overload::eviction_candidate> cheapest;
    candidate_worker const* best = nullptr;
    auto const cost_of = [](auto const& victims)
    {
        core::duration lost{};
        for (auto const& each : victims)
        {
            lost += each.since_checkpoint;
        }
        // Prefers work that is worth least, then few victims.
        return std::tuple(
            -static_cast<int>(victims.front().expected), victims.size(), lost);
    };
    for (auto const* const worker : workers)
    {
        if (worker->is_trial)
        {
            continue;
        }
        auto victims = victims_on(now, *worker, claimant);
        if (!victims.empty() &&
            (best == nullptr || cost_of(victims) < cost_of(cheapest)))
        {
            cheapest = std::move(victims);
            best = worker;
        }
    }
    std::vector<preemption> found;
    found.reserve(cheapest.size());
    for (auto const& victim : cheapest)
    {
        found.push_back({best->worker, victim, claimant.stage});
    }
    return found;
}

std::vector<preemption>
preemption_planner::plan(core::time_point now,
                         std::vector<pending_stage const*> waiting,
                         std::vector<core::run_placement> const& placed,
                         std::vector<candidate_worker*> const& workers)
{
    if (now < m_next_search)
    {
        return {};
    }
    m_next_search = now + search_interval;
    observe_checkpoints(now);
    drop_ended();
    std::set<core::task_run> placed_runs;
    for (auto const& each : placed)
    {
        placed_runs.insert(each.run);
    }
    std::erase_if(waiting,
                  [&](pending_stage const* each)
                  {
                      auto const since = m_hooks.waiting_since(each->stage);
                      return each->urgency != job_urgency::on_time ||
                             each->description->behaviour.gang ||
                             is_served(each->stage) || !since ||
                             now - *since < min_wait;
                  });
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [](pending_stage const* a, pending_stage const* b)
                     {
                         return std::tie(a->priority, a->rank, a->submitted) <
                                std::tie(b->priority, b->rank, b->submitted);
                     });
    waiting.resize(std::min(waiting.size(), max_examined));
    std::vector<preemption> found;
    std::set<core::worker_id> used;
    std::size_t claimants = 0;
    for (auto const* const each : waiting)
    {
        auto const claimant = unplaced_task(*each, placed_runs);
        if (claimant.runs.empty() || claimants == max_claimants)
        {
            continue;
        }
        auto free = workers;
        std::erase_if(free,
                      [&used](candidate_worker const* worker)
                      { return used.contains(worker->worker); });
        auto const chosen = plan_for(now, claimant, free);
        claimants += chosen.empty() ? 0 : 1;
        for (auto const& one : chosen)
        {
            used.insert(one.worker);
            m_evicted.insert(one.victim.run.task.workflow);
            m_claims.emplace(one.victim.run, one.claimant);
            found.push_back(one);
        }
    }
    return found;
}

} // namespace turmericswitch::workflow
