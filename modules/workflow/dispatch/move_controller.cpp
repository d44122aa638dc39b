#include "workflow/dispatch/move_controller.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <tuple>

namespace turmericswitch::workflow
{

namespace
{

/// A task waits this long from its submission before others are moved for it,
/// because ends of short tasks often make room sooner.
constexpr core::duration min_wait = std::chrono::seconds(10);

/// A new leader moves nothing before it knows the workers.
constexpr core::duration min_leadership = std::chrono::seconds(5);

constexpr core::duration search_interval = std::chrono::milliseconds(500);
constexpr core::duration move_interval = std::chrono::seconds(1);

/// A moved run that was not placed again for this long no longer delays the
/// next move.
constexpr core::duration max_move_time = std::chrono::seconds(30);

/// Waiting stages that one search examines.
constexpr std::size_t max_examined_stages = 3;

// Cost of a move per core. A task that resumes from a checkpoint repeats a part
// of its work; a long-running one is interrupted, and one that serves is missed
// by its callers.
constexpr double checkpoint_cost = 1;
constexpr double long_running_cost = 3;
constexpr double serving_cost = 6;

/// A task is wide if it needs at least 1 / `wide_fraction` of the largest
/// worker.
constexpr std::int64_t wide_fraction = 4;

double cost_of(core::stage_description const& stage)
{
    constexpr double per_core = 1000;
    auto const& behaviour = stage.behaviour;
    auto cost = checkpoint_cost;
    if (behaviour.long_running)
    {
        cost = behaviour.target_latency > core::duration{} ? serving_cost
                                                           : long_running_cost;
    }
    return cost * static_cast<double>(stage.need.cpu.value()) / per_core;
}

bool is_movable(core::stage_description const& stage)
{
    auto const& behaviour = stage.behaviour;
    return !behaviour.gang && !behaviour.uses_spare_cpu &&
           (behaviour.long_running ? behaviour.max_unavailable > 0
                                   : behaviour.checkpoints);
}

bool is_wide(core::stage_description const& stage, core::millicores largest)
{
    return stage.need.cpu.value() * wide_fraction >= largest.value();
}

core::millicores largest_cpu(std::vector<candidate_worker*> const& candidates)
{
    core::millicores largest;
    for (auto const* const each : candidates)
    {
        largest = std::max(largest, each->capacity.cpu);
    }
    return largest;
}

} // namespace

move_controller::move_controller(workflow_table const& table,
                                 worker_fleet const& fleet,
                                 stage_backlog const& backlog,
                                 core::time_point elected)
    : m_table(table), m_fleet(fleet), m_backlog(backlog), m_elected(elected)
{
}

std::vector<movable_run>
move_controller::movable_on(candidate_worker const& worker,
                            std::uint32_t priority) const
{
    std::vector<movable_run> result;
    for (auto const& [run, life] : m_table.held_on(worker.worker))
    {
        auto const* const workflow = m_table.find(run.task.workflow);
        auto const* const stage = m_table.find_stage(run.task);
        if (stage == nullptr || core::is_final(workflow->state) ||
            workflow->queue.priority < priority || !is_movable(*stage) ||
            !m_fleet.is_established(worker.worker, life, run))
        {
            continue;
        }
        movable_run movable;
        auto& pending = movable.pending;
        pending.stage = stage_of(run.task);
        pending.description = stage;
        pending.service = workflow->queue.service;
        pending.priority = workflow->queue.priority;
        pending.runs = {run};
        movable.cost = cost_of(*stage);
        result.push_back(std::move(movable));
    }
    return result;
}

bool move_controller::has_waited(plan_times const& times,
                                 pending_stage const& pending) const
{
    bool const is_first_attempt =
        pending.runs.front().attempt == core::attempt_number(1);
    auto const waited =
        is_first_attempt
            ? times.cluster - pending.submitted
            : times.now -
                  m_backlog.waiting_since(pending.stage).value_or(times.now);
    return waited >= min_wait;
}

std::vector<pending_stage const*> move_controller::stages_to_examine(
    plan_times const& times,
    std::vector<pending_stage const*> const& waiting,
    std::vector<candidate_worker*> const& candidates) const
{
    auto const largest = largest_cpu(candidates);
    std::vector<pending_stage const*> result;
    std::copy_if(waiting.begin(),
                 waiting.end(),
                 std::back_inserter(result),
                 [&](pending_stage const* each)
                 {
                     auto const& stage = *each->description;
                     auto const& behaviour = stage.behaviour;
                     return !behaviour.gang && !behaviour.uses_spare_cpu &&
                            (behaviour.long_running ||
                             is_wide(stage, largest)) &&
                            has_waited(times, *each);
                 });
    std::stable_sort(result.begin(),
                     result.end(),
                     [](pending_stage const* a, pending_stage const* b)
                     {
                         // The widest first: moved tasks wait, too.
                         return std::tie(a->priority,
                                         b->description->need.cpu,
                                         a->submitted,
                                         a->stage) <
                                std::tie(b->priority,
                                         a->description->need.cpu,
                                         b->submitted,
                                         b->stage);
                     });
    result.resize(std::min(result.size(), max_examined_stages));
    return result;
}

void move_controller::remove_outdated(
    std::vector<pending_stage const*> const& waiting,
    std::vector<candidate_worker*> const& candidates)
{
    std::erase_if(
        m_targets,
        [&](move_target const& target)
        {
            return std::none_of(waiting.begin(),
                                waiting.end(),
                                [&target](pending_stage const* each)
                                { return each->stage == target.waiting; }) ||
                   std::none_of(candidates.begin(),
                                candidates.end(),
                                [&target](candidate_worker const* each) {
                                    return each->worker == target.moves.worker;
                                });
        });
}

void move_controller::update(plan_times const& times,
                             std::vector<pending_stage const*> const& waiting,
                             std::vector<candidate_worker*> candidates,
                             tail_hook const& tail,
                             placement_policy const& policy)
{
    remove_outdated(waiting, candidates);
    if (times.now < m_next_search)
    {
        return;
    }
    m_next_search = times.now + search_interval;
    m_targets.clear();
    for (auto const* const each : stages_to_examine(times, waiting, candidates))
    {
        auto moves = find_cheapest_moves(
            *each,
            candidates,
            [this, each](candidate_worker const& worker)
            { return movable_on(worker, each->priority); },
            tail,
            policy);
        if (moves)
        {
            std::erase_if(candidates,
                          [&moves](candidate_worker const* worker)
                          { return worker->worker == moves->worker; });
            m_targets.push_back({each->stage,
                                 each->priority,
                                 reserved_by(*each->description),
                                 *std::move(moves)});
        }
    }
}

std::vector<kept_worker> move_controller::kept() const
{
    std::vector<kept_worker> result;
    result.reserve(m_targets.size());
    for (auto const& each : m_targets)
    {
        result.push_back(
            {each.moves.worker, {each.waiting, each.need, each.priority}});
    }
    return result;
}

bool move_controller::may_be_away(
    core::task_run const& run, std::set<core::task_run> const& evicting) const
{
    auto const& [task, attempt] = run;
    auto const& stage = *m_table.find_stage(task);
    if (!stage.behaviour.long_running)
    {
        return true;
    }
    auto const& record = *workflow_table::find_stage_record(
        *m_table.find(task.workflow), task.occurrence, task.stage);
    // Tasks that were never placed are away too; long-running ones are never
    // done.
    auto away = stage.tasks - record.tasks.size();
    for (std::size_t i = 0; i < record.tasks.size(); ++i)
    {
        auto other = run;
        other.task.index = record.indices[i];
        other.attempt = record.tasks[i].attempt;
        away += !record.tasks[i].placed || evicting.contains(other) ? 1 : 0;
    }
    return away < stage.behaviour.max_unavailable;
}

bool move_controller::is_move_open(core::time_point now)
{
    if (!m_moving)
    {
        return false;
    }
    auto const* const task = m_table.find_task(m_moving->task);
    bool const is_done = task == nullptr || task->done ||
                         (task->placed && task->attempt > m_moving->attempt) ||
                         now - m_moving_since >= max_move_time;
    if (is_done)
    {
        m_moving.reset();
    }
    return !is_done;
}

bool move_controller::may_move(core::task_run const& run,
                               core::worker_id const& worker,
                               std::set<core::task_run> const& evicting) const
{
    auto const* const task = m_table.find_task(run.task);
    bool const is_held = task != nullptr && task->placed &&
                         task->attempt == run.attempt && task->worker == worker;
    return is_held && m_table.find_stage(run.task) != nullptr &&
           !evicting.contains(run) && may_be_away(run, evicting);
}

std::optional<run_move>
move_controller::take_next(core::time_point now,
                           std::set<core::task_run> const& evicting)
{
    if (now - m_elected < min_leadership || now < m_next_move ||
        is_move_open(now))
    {
        return std::nullopt;
    }
    for (auto const& target : m_targets)
    {
        auto const& worker = target.moves.worker;
        for (auto const& each : target.moves.runs)
        {
            auto const& run = each.pending.runs.front();
            if (may_move(run, worker, evicting))
            {
                m_next_move = now + move_interval;
                m_moving = run;
                m_moving_since = now;
                return run_move{run, worker, target.waiting};
            }
        }
    }
    return std::nullopt;
}

} // namespace turmericswitch::workflow
