#include "workflow/dispatch/worker_ranking.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

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
    return raises_tail(worker, *pending.description, m_tail)
               ? placement_obstacle::serving_tail
               : placement_obstacle::none;
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
        return std::nullopt;
    }
    return ranked_worker{score(worker, m_placement, m_tail), index};
}

} // namespace turmericswitch::workflow
