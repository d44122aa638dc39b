#ifndef TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_HANDLER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_HANDLER_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Handles failed attempts: delays the retry, decides whether the job or the
/// worker is at fault, and quarantines and restores workers.
class failure_handler
{
public:
    /// @param decisions Receives quarantine decisions and their records.
    failure_handler(planner_state& state, tick_decisions& decisions);

    void attempt_failed(core::time_point now, task_entry& task);
    void task_finished(task_entry const& task);
    void worker_removed(std::size_t slot);
    void job_removed(core::job_id job);

    /// Marks the job as faulty again after its `stop_job` was not committed.
    void stop_not_committed(core::job_id job);

    /// Lets workers whose quarantine is over run one task as a probe, and
    /// restores those whose probe has run long enough.
    void run_probes(core::time_point now);

    /// @return Queued jobs that are at fault; each is returned once.
    std::vector<core::job_id> take_faulty_queued_jobs();

private:
    void start_quarantine(core::time_point now, std::size_t slot);
    void end_quarantine(std::size_t slot, char const* reason);
    void clear_failures_on(core::time_point now, std::size_t slot);

    planner_state& m_state;
    tick_decisions& m_decisions;
    std::set<core::job_id> m_faulty_jobs;
    std::set<std::size_t> m_probing;
};

} // namespace turmericswitch::placement

#endif
