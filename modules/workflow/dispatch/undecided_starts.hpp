#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_UNDECIDED_STARTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_UNDECIDED_STARTS_HPP

#include "core/messages/workflow.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// The runs that this leader placed and that are neither listed by their worker
/// nor ended.
class undecided_starts
{
public:
    void add(core::run_placement const& placed);

    /// @return True if the run was undecided.
    bool remove(core::worker_id const& worker, core::task_run const& run);

    /// Removes the runs that a worker's report lists.
    ///
    /// @return Their number.
    std::size_t
    remove_listed(core::worker_id const& worker,
                  std::map<core::task_run, core::running_task> const& listed);

    /// @return Number of undecided runs on the worker.
    std::size_t count(core::worker_id const& worker) const;

    /// Forgets the runs on a worker, for example after its restart.
    void forget(core::worker_id const& worker);

private:
    std::map<core::worker_id, std::set<core::task_run>> m_runs;
};

} // namespace turmericswitch::workflow

#endif
