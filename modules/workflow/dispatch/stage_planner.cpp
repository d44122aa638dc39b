#include "workflow/dispatch/stage_planner.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

// Penalties and bonuses in the score of a worker. Their unit is the share of
// the worker's CPU that is free.

/// Tasks in another rack than their data or the rest of their stage take half
/// as long again or more.
constexpr double other_rack_penalty = 0.6;
constexpr double failed_before_penalty = 0.5;
/// For serving and best-effort tasks on one worker, which interfere.
constexpr double colocation_penalty = 0.4;
/// Each further serving image on a worker excludes the best-effort images that
/// interfere with it, about a quarter of them. This matters more than an even
/// load.
constexpr double other_image_penalty = 0.5;
constexpr double same_image_bonus = 0.8;

/// Outweighs all other parts of a score, so a quarantined worker comes last.
constexpr double trial_penalty = 1000;
/// Larger than the sum of the others: a worker with another suspect is used
/// only if there is no other one.
constexpr double other_suspect_penalty = 4.0;
/// For each run that the crash of an isolated task would end.
constexpr double endangered_run_penalty = 1.0;

/// Isolated tasks close at most this share of the workers to other tasks, but
/// always may close one.
constexpr std::size_t workers_per_isolated = 4;

/// A best-effort task is not placed where it is predicted to raise a serving
/// task's tail above this multiple of its target.
constexpr double max_tail = 0.85;

/// Smaller relative rises are within the error of the model.
constexpr double min_tail_rise = 1.1;

/// Best-effort tasks are placed where at least this part of the CPU they
/// request is spare; with less their progress is not worth their memory.
constexpr std::int64_t min_spare_percent = 50;

bool has_label(candidate_worker const& worker, std::string const& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) !=
               worker.labels.end();
}

crash_suspicion suspicion_of(pending_stage const& pending,
                             core::task_run const& run)
{
    auto const known = pending.suspected.find(run);
    return known == pending.suspected.end() ? crash_suspicion::none
                                            : known->second;
}

bool has_isolated(pending_stage const& pending)
{
    return std::any_of(pending.suspected.begin(),
                       pending.suspected.end(),
                       [](auto const& each)
                       { return each.second == crash_suspicion::isolated; });
}

bool is_isolated_for_other(candidate_worker const& worker,
                           core::workflow_id const& workflow)
{
    return !worker.isolated_for.value().empty() &&
           worker.isolated_for != workflow;
}

/// @return True if all runs there that are not established belong to the
///         workflow, which fails as a whole if one of its tasks does.
bool has_no_new_run_of_others(candidate_worker const& worker,
                              core::workflow_id const& workflow)
{
    auto const& runs = worker.not_established;
    return runs.size() == runs.count(workflow);
}

/// The cheap comparisons come first: in a backlog most workers are full.
bool fits(candidate_worker const& worker, pending_stage const& pending)
{
    auto const& stage = *pending.description;
    if (!core::fits_in(reserved_by(stage), worker.free))
    {
        return false;
    }
    if (worker.is_trial &&
        (worker.trials_left == 0 || !stage.behaviour.long_running))
    {
        return false;
    }
    bool const lacks_spare_cpu =
        worker.spare.value() * 100 < stage.need.cpu.value() * min_spare_percent;
    if (stage.behaviour.uses_spare_cpu &&
        (worker.closed_to_best_effort || lacks_spare_cpu))
    {
        return false;
    }
    if (is_isolated_for_other(worker, pending.stage.workflow))
    {
        return false;
    }
    if (worker.service != pending.service ||
        !has_label(worker, stage.constraints.required_label))
    {
        return false;
    }
    auto const max_per_worker = stage.constraints.max_per_worker;
    if (max_per_worker == 0)
    {
        return true;
    }
    auto const count = worker.per_stage.find(pending.stage);
    return count == worker.per_stage.end() || count->second < max_per_worker;
}

/// @return Predicted worst tail on the worker with one more task of the stage.
double tail_after(candidate_worker const& worker,
                  core::stage_description const& stage,
                  tail_hook const& tail)
{
    auto added = worker.planned;
    added[stage.behaviour.image] += stage.need.cpu;
    return tail(worker.worker, added);
}

/// @return True if one more task of the stage is predicted to raise a serving
///         task's tail there to near its target. A tail that is already high
///         and that the task does not raise doesn't count.
bool raises_tail(candidate_worker const& worker,
                 core::stage_description const& stage,
                 tail_hook const& tail)
{
    if (!stage.behaviour.uses_spare_cpu || worker.serving == 0)
    {
        return false;
    }
    auto const before = tail(worker.worker, worker.planned);
    auto const after = tail_after(worker, stage, tail);
    return after > max_tail && after > before * min_tail_rise;
}

/// Tasks of one stage that are being placed.
struct stage_placement
{
    pending_stage const& pending;
    crash_suspicion suspicion = crash_suspicion::none;
    /// Racks of the stage's tasks, including those placed by this plan.
    std::set<core::rack_id> racks;
};

double score(candidate_worker const& worker,
             stage_placement const& placement,
             tail_hook const& tail)
{
    auto const& pending = placement.pending;
    auto const& stage = *pending.description;
    auto const capacity = static_cast<double>(
        std::max<std::int64_t>(worker.capacity.cpu.value(), 1));
    bool const best_effort = stage.behaviour.uses_spare_cpu;
    auto const available = best_effort ? worker.spare : worker.free.cpu;
    double value =
        static_cast<double>(available.value() - stage.need.cpu.value()) /
        capacity;
    auto const& constraints = stage.constraints;
    if (!constraints.data_rack.value().empty() &&
        constraints.data_rack != worker.rack)
    {
        value -= other_rack_penalty;
    }
    if (constraints.prefers_one_rack && !placement.racks.empty() &&
        !placement.racks.contains(worker.rack))
    {
        value -= other_rack_penalty;
    }
    if (worker.is_trial)
    {
        value -= trial_penalty;
    }
    if (pending.failed_on.contains(worker.worker))
    {
        value -= failed_before_penalty;
    }
    auto const& workflow = pending.stage.workflow;
    if (placement.suspicion != crash_suspicion::none &&
        worker.suspects.size() > worker.suspects.count(workflow))
    {
        value -= other_suspect_penalty;
    }
    if (placement.suspicion == crash_suspicion::isolated)
    {
        value -= endangered_run_penalty * worker.runs;
    }
    if (best_effort)
    {
        value -= colocation_penalty * tail_after(worker, stage, tail);
    }
    if (stage.behaviour.target_latency > core::duration{})
    {
        value -= worker.best_effort > 0 ? colocation_penalty : 0.0;
        auto const same = worker.serving_images.count(stage.behaviour.image);
        auto const others = worker.serving_images.size() - same;
        value += same_image_bonus * static_cast<double>(same);
        value -= other_image_penalty * static_cast<double>(others);
    }
    return value;
}

/// The workers that can take a task of one stage, best first. Of workers with
/// the same score the first in the list of candidates comes first.
class worker_ranking
{
public:
    worker_ranking(std::vector<candidate_worker*> const& candidates,
                   stage_placement const& placement,
                   tail_hook const& tail)
        : m_candidates(candidates), m_placement(placement), m_tail(tail)
    {
        rank_all();
    }

    /// @return The best worker, or null if no worker can take a task.
    candidate_worker* best() const
    {
        return m_ranked.empty() ? nullptr
                                : m_candidates[m_ranked.front().index];
    }

    /// Must be called after a task was placed on the best worker.
    void best_changed()
    {
        std::pop_heap(m_ranked.begin(), m_ranked.end());
        auto const index = m_ranked.back().index;
        m_ranked.pop_back();
        if (auto const added = rank(index))
        {
            m_ranked.push_back(*added);
            std::push_heap(m_ranked.begin(), m_ranked.end());
        }
    }

    void rank_all()
    {
        m_ranked.clear();
        for (std::size_t i = 0; i < m_candidates.size(); ++i)
        {
            if (auto const added = rank(i))
            {
                m_ranked.push_back(*added);
            }
        }
        std::make_heap(m_ranked.begin(), m_ranked.end());
    }

private:
    struct ranked_worker
    {
        double value = 0;
        std::size_t index = 0;

        bool operator<(ranked_worker const& other) const
        {
            return std::tie(value, other.index) < std::tie(other.value, index);
        }
    };

    std::optional<ranked_worker> rank(std::size_t index) const
    {
        auto const& worker = *m_candidates[index];
        auto const& pending = m_placement.pending;
        bool const is_isolated =
            m_placement.suspicion == crash_suspicion::isolated;
        if (!fits(worker, pending) ||
            (is_isolated &&
             !has_no_new_run_of_others(worker, pending.stage.workflow)) ||
            raises_tail(worker, *pending.description, m_tail))
        {
            return std::nullopt;
        }
        return ranked_worker{score(worker, m_placement, m_tail), index};
    }

    std::vector<candidate_worker*> const& m_candidates;
    stage_placement const& m_placement;
    tail_hook const& m_tail;
    /// A heap with the best worker first.
    std::vector<ranked_worker> m_ranked;
};

/// Copies of workers from before a gang was placed on them.
using saved_workers = std::map<candidate_worker*, candidate_worker>;

/// Places the runs of a stage that have the same suspicion.
std::vector<core::run_placement>
place_equal_tasks(pending_stage const& pending,
                  crash_suspicion suspicion,
                  std::vector<candidate_worker*> const& candidates,
                  std::size_t max_tasks,
                  tail_hook const& tail,
                  saved_workers* saved)
{
    std::vector<core::run_placement> placed;
    stage_placement placement{pending, suspicion, pending.racks};
    worker_ranking ranking(candidates, placement, tail);
    for (auto const& run : pending.runs)
    {
        if (suspicion_of(pending, run) != suspicion)
        {
            continue;
        }
        auto* const worker =
            placed.size() < max_tasks ? ranking.best() : nullptr;
        if (worker == nullptr)
        {
            break;
        }
        if (saved != nullptr)
        {
            saved->try_emplace(worker, *worker);
        }
        worker->add_planned(pending.stage, *pending.description);
        worker->add_not_established(pending.stage.workflow, suspicion);
        placed.push_back({run, worker->worker, worker->life});
        ranking.best_changed();
        if (placement.racks.insert(worker->rack).second &&
            pending.description->constraints.prefers_one_rack)
        {
            ranking.rank_all();
        }
    }
    return placed;
}

std::vector<core::run_placement>
place_tasks(pending_stage const& pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail,
            bool may_isolate = true,
            saved_workers* saved = nullptr)
{
    if (pending.suspected.empty())
    {
        return place_equal_tasks(
            pending, crash_suspicion::none, candidates, max_tasks, tail, saved);
    }
    std::vector<core::run_placement> placed;
    for (auto const suspicion : {crash_suspicion::isolated,
                                 crash_suspicion::spread,
                                 crash_suspicion::none})
    {
        if (suspicion == crash_suspicion::isolated && !may_isolate)
        {
            continue;
        }
        auto const more = place_equal_tasks(pending,
                                            suspicion,
                                            candidates,
                                            max_tasks - placed.size(),
                                            tail,
                                            saved);
        placed.insert(placed.end(), more.begin(), more.end());
    }
    return placed;
}

/// Closes the worker on which the stage's isolated task can start soonest to
/// other workflows. While it is closed, its runs become established, so the
/// next plans choose it again or one that is better.
void close_worker(pending_stage const& pending,
                  std::vector<candidate_worker*> const& candidates)
{
    auto const& workflow = pending.stage.workflow;
    candidate_worker* best = nullptr;
    auto const rank = [](candidate_worker const& worker)
    { return std::pair(worker.not_established.size(), worker.runs); };
    for (auto* const each : candidates)
    {
        if (!fits(*each, pending))
        {
            continue;
        }
        if (has_no_new_run_of_others(*each, workflow))
        {
            // The stage waits for capacity, not for a free worker.
            return;
        }
        if (each->isolated_for.value().empty() &&
            (best == nullptr || rank(*each) < rank(*best)))
        {
            best = each;
        }
    }
    if (best != nullptr)
    {
        best->isolated_for = workflow;
    }
}

bool has_unplaced_isolated(pending_stage const& pending,
                           std::vector<core::run_placement> const& placed)
{
    return std::any_of(
        pending.suspected.begin(),
        pending.suspected.end(),
        [&placed](auto const& suspected)
        {
            return suspected.second == crash_suspicion::isolated &&
                   std::none_of(placed.begin(),
                                placed.end(),
                                [&suspected](core::run_placement const& each)
                                { return each.run == suspected.first; });
        });
}

/// @return True if an isolated task may close one more worker.
bool may_isolate(std::vector<candidate_worker*> const& candidates)
{
    auto const closed = static_cast<std::size_t>(
        std::count_if(candidates.begin(),
                      candidates.end(),
                      [](candidate_worker const* each)
                      { return !each->isolated_for.value().empty(); }));
    return closed == 0 ||
           (closed + 1) * workers_per_isolated <= candidates.size();
}

std::vector<core::run_placement>
place_gang(pending_stage const& pending,
           std::vector<candidate_worker*> const& candidates,
           std::size_t max_tasks,
           tail_hook const& tail)
{
    if (pending.runs.size() > max_tasks)
    {
        return {};
    }
    saved_workers saved;
    auto placed =
        place_tasks(pending, candidates, max_tasks, tail, true, &saved);
    if (placed.size() < pending.runs.size())
    {
        for (auto& [worker, before] : saved)
        {
            *worker = std::move(before);
        }
        return {};
    }
    return placed;
}

} // namespace

crash_suspicion suspicion_after(std::uint32_t crashes) noexcept
{
    if (crashes == 0)
    {
        return crash_suspicion::none;
    }
    return crashes == 1 ? crash_suspicion::spread : crash_suspicion::isolated;
}

stage_ref stage_of(core::task_ref const& task)
{
    return {task.workflow, task.occurrence, task.stage};
}

core::resources reserved_by(core::stage_description const& stage)
{
    auto need = stage.need;
    if (stage.behaviour.uses_spare_cpu)
    {
        need.cpu = core::millicores(0);
    }
    return need;
}

void candidate_worker::add(stage_ref const& stage,
                           core::stage_description const& description,
                           std::uint32_t pace)
{
    constexpr std::int64_t percent = 100;
    ++runs;
    free -= reserved_by(description);
    bool const is_serving =
        description.behaviour.target_latency > core::duration{};
    std::int64_t const used = is_serving ? serving_use_percent : pace;
    spare -= core::millicores(description.need.cpu.value() * used / percent);
    serving += is_serving ? 1 : 0;
    if (is_serving)
    {
        ++serving_images[description.behaviour.image];
    }
    best_effort += description.behaviour.uses_spare_cpu ? 1 : 0;
    if (description.constraints.max_per_worker > 0)
    {
        ++per_stage[stage];
    }
}

void candidate_worker::add_planned(stage_ref const& stage,
                                   core::stage_description const& description)
{
    add(stage, description);
    trials_left -= trials_left > 0 ? 1 : 0;
    if (description.behaviour.uses_spare_cpu)
    {
        planned[description.behaviour.image] += description.need.cpu;
    }
}

void candidate_worker::add_not_established(core::workflow_id const& workflow,
                                           crash_suspicion suspicion)
{
    ++not_established[workflow];
    if (suspicion != crash_suspicion::none)
    {
        suspects.insert(workflow);
    }
    if (suspicion == crash_suspicion::isolated)
    {
        isolated_for = workflow;
    }
}

std::vector<core::run_placement>
plan_stages(std::vector<pending_stage const*> pending,
            std::vector<candidate_worker*> const& candidates,
            std::size_t max_tasks,
            tail_hook const& tail)
{
    std::stable_sort(pending.begin(),
                     pending.end(),
                     [](pending_stage const* a, pending_stage const* b)
                     {
                         bool const a_after = !has_isolated(*a);
                         bool const b_after = !has_isolated(*b);
                         return std::tie(a_after,
                                         a->urgency,
                                         a->priority,
                                         a->rank,
                                         a->submitted,
                                         a->stage) < std::tie(b_after,
                                                              b->urgency,
                                                              b->priority,
                                                              b->rank,
                                                              b->submitted,
                                                              b->stage);
                     });
    std::vector<core::run_placement> placements;
    for (auto const* const each : pending)
    {
        auto const left = max_tasks - placements.size();
        if (left == 0)
        {
            break;
        }
        bool const is_isolated = has_isolated(*each);
        bool const may_place_isolated = !is_isolated || may_isolate(candidates);
        bool const is_gang = each->description->behaviour.gang;
        if (is_gang && !may_place_isolated)
        {
            continue;
        }
        auto const placed =
            is_gang ? place_gang(*each, candidates, left, tail)
                    : place_tasks(
                          *each, candidates, left, tail, may_place_isolated);
        if (is_isolated && may_place_isolated &&
            has_unplaced_isolated(*each, placed))
        {
            close_worker(*each, candidates);
        }
        placements.insert(placements.end(), placed.begin(), placed.end());
    }
    return placements;
}

} // namespace turmericswitch::workflow
