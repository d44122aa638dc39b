#ifndef TURMERICSWITCH_WORKFLOW_AGENT_BEGUN_RUNS_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_BEGUN_RUNS_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Runs that are known to have begun on one incarnation of a worker, and of
/// which no list has shown the end.
///
/// A worker lists each of its runs from the begin to the acknowledgement of the
/// end. So one that is in neither list has ended, and the worker has dropped
/// the end before a list showed it. A worker that shuts down might still answer
/// when its runs are gone, so two lists in a row must
/// lack the run.
class begun_runs
{
public:
    /// Adds a run that the worker has begun.
    ///
    /// @param first_sync Number of the first sync call whose answer lists it.
    void add(core::task_run const& run, std::uint64_t first_sync);

    bool contains(core::task_run const& run) const;

    /// @return True if the last list that could have the run lacks it.
    bool is_unlisted(core::task_run const& run) const;

    /// Removes a run that has ended.
    void remove(core::task_run const& run);

    /// Handles the lists in the answer to a sync call.
    ///
    /// @param sync Number of the call.
    /// @param is_whole True if the lists have all runs of the incarnation.
    /// @return Runs that have ended without a list that shows it: two whole
    ///         lists in a row lack them. They are removed.
    std::vector<core::task_run>
    listed(std::uint64_t sync, core::worker_runs const& lists, bool is_whole);

    /// @return True if another list decides whether a run has ended.
    bool has_missing() const;

    void clear();

private:
    struct begun_run
    {
        /// Number of the first sync call whose answer lists it.
        std::uint64_t first_sync = 0;
        /// True if the last list lacks it.
        bool is_unlisted = false;
        /// True if the last list is whole and lacks it.
        bool is_missing = false;
    };

    std::map<core::task_run, begun_run> m_runs;
};

} // namespace turmericswitch::workflow

#endif
