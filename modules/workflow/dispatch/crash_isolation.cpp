#include "workflow/dispatch/crash_isolation.hpp"

#include "workflow/dispatch/worker_score.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Isolated tasks close at most this share of the workers to other tasks, but
/// always may close one.
constexpr std::size_t workers_per_isolated = 4;

/// The same while a task has waited for too long. A worker that doesn't answer
/// the start of an isolated task stays closed for seconds, so few of them would
/// stop all others.
constexpr std::size_t workers_per_late_isolated = 2;

} // namespace

void close_worker(pending_stage const& pending,
                  std::vector<candidate_worker*> const& candidates)
{
    auto const& workflow = pending.stage.workflow;
    candidate_worker* best = nullptr;
    auto const rank = [](candidate_worker const& worker)
    { return std::pair(worker.not_established.size(), worker.runs); };
    for (auto* const each : candidates)
    {
        if (!each->is_steady || !fits(*each, pending))
        {
            continue;
        }
        if (each->has_no_new_run_of_others(workflow))
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

bool may_isolate(pending_stage const& pending,
                 std::vector<candidate_worker*> const& candidates)
{
    auto const per_isolated = pending.is_isolation_late
                                  ? workers_per_late_isolated
                                  : workers_per_isolated;
    auto const closed = static_cast<std::size_t>(
        std::count_if(candidates.begin(),
                      candidates.end(),
                      [](candidate_worker const* each)
                      { return !each->isolated_for.value().empty(); }));
    return closed == 0 || (closed + 1) * per_isolated <= candidates.size();
}

} // namespace turmericswitch::workflow
