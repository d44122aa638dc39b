#include "workflow/dispatch/worker_ranking.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Of a serving task that meets its latency target.
constexpr double target_tail = 1.0;

} // namespace

worker_ranking::worker_ranking(std::vector<candidate_worker*> const& candidates,
                               stage_placement const& placement,
                               tail_hook const& tail)
    : m_candidates(candidates), m_placement(placement), m_tail(tail)
{
    rank_all();
}

candidate_worker* worker_ranking::best() const
{
    return m_ranked.empty() ? nullptr : m_candidates[m_ranked.front().index];
}

void worker_ranking::best_changed()
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

void worker_ranking::rank_all()
{
    m_is_probe = false;
    rank_candidates();
}

void worker_ranking::rank_for_probe()
{
    m_is_probe = true;
    rank_candidates();
}

void worker_ranking::rank_candidates()
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

placement_obstacle worker_ranking::obstacle() const noexcept
{
    return m_obstacle;
}

bool worker_ranking::is_limited_by_tail() const noexcept
{
    return m_is_limited_by_tail;
}

placement_obstacle
worker_ranking::find_obstacle_on(candidate_worker const& worker) const
{
    auto const& pending = m_placement.pending;
    auto const found = find_obstacle(worker, pending);
    if (found != placement_obstacle::none)
    {
        return found;
    }
    if (!allows_suspect(worker))
    {
        return placement_obstacle::isolation;
    }
    return !raises_tail(worker, *pending.description, m_tail) ||
                   allows_probe(worker)
               ? placement_obstacle::none
               : placement_obstacle::serving_tail;
}

bool worker_ranking::allows_probe(candidate_worker const& worker) const
{
    auto const& image = m_placement.pending.description->behaviour.image;
    return m_is_probe && m_tail(worker.worker, worker.planned) < target_tail &&
           !m_placement.policy.is_effect_known(worker.worker, image);
}

bool worker_ranking::allows_suspect(candidate_worker const& worker) const
{
    switch (m_placement.suspicion)
    {
    case crash_suspicion::none:
    case crash_suspicion::spread:
        return true;
    case crash_suspicion::overdue:
        return worker.is_steady;
    case crash_suspicion::isolated:
        break;
    }
    return worker.is_steady &&
           worker.has_no_new_run_of_others(m_placement.pending.stage.workflow);
}

std::optional<worker_ranking::ranked_worker>
worker_ranking::rank(std::size_t index)
{
    auto const& worker = *m_candidates[index];
    auto const found = find_obstacle_on(worker);
    if (found != placement_obstacle::none)
    {
        m_obstacle = std::max(m_obstacle, found);
        m_is_limited_by_tail =
            m_is_limited_by_tail || found == placement_obstacle::serving_tail;
        return std::nullopt;
    }
    return ranked_worker{score(worker, m_placement, m_tail), index};
}

} // namespace turmericswitch::workflow
