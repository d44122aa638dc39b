#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_RANKING_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_RANKING_HPP

#include "workflow/dispatch/worker_score.hpp"

#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

namespace turmericswitch::workflow
{

/// The workers that can take a task of one stage, best first. Of workers with
/// the same score the first in the list of candidates comes first.
class worker_ranking
{
public:
    /// The arguments must outlive the object.
    worker_ranking(std::vector<candidate_worker*> const& candidates,
                   stage_placement const& placement,
                   tail_hook const& tail);

    /// @return The best worker, or null if no worker can take a task.
    candidate_worker* best() const;

    /// @return What keeps the task from the worker that comes nearest to taking
    ///         it, if there is no best one.
    placement_obstacle obstacle() const noexcept;

    /// @return True if only the predicted tail keeps the task from one of the
    ///         workers.
    bool is_limited_by_tail() const noexcept;

    /// Must be called after a task was placed on the best worker.
    void best_changed();

    /// Must be called after the racks of the stage changed, and after a probe
    /// was placed.
    void rank_all();

    /// Ranks the workers for one task that may start where it is predicted to
    /// raise a tail and no recent sample shows that it does.
    void rank_for_probe();

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

    placement_obstacle find_obstacle_on(candidate_worker const& worker) const;
    bool allows_suspect(candidate_worker const& worker) const;
    /// @return True if a task may start on the worker in spite of the predicted
    ///         tail.
    bool allows_probe(candidate_worker const& worker) const;
    std::optional<ranked_worker> rank(std::size_t index);
    void rank_candidates();

    std::vector<candidate_worker*> const& m_candidates;
    stage_placement const& m_placement;
    tail_hook const& m_tail;
    /// A heap with the best worker first.
    std::vector<ranked_worker> m_ranked;
    placement_obstacle m_obstacle = placement_obstacle::no_worker;
    bool m_is_limited_by_tail = false;
    /// True while the workers are ranked for a probe.
    bool m_is_probe = false;
};

} // namespace turmericswitch::workflow

#endif
