#ifndef TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_HANDLER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_HANDLER_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Acts on failed attempts: delays the next try, blames the job or the
/// worker, and takes workers into quarantine and back.
class failure_handler
{
public:
    /// @param decisions Where quarantines are added until the next tick.
    failure_handler(planner_state& state, tick_decisions& decisions);

    void attempt_failed(core::time_point now, task_entry& task);
    void task_finished(task_entry const& task);
    void worker_gone(std::size_t slot);
    void job_gone(core::job_id job);

    /// The decision to stop the job was not committed.
    void blame_again(core::job_id job);

    /// Opens workers whose quarantine is over to one task, and returns those
    /// whose probe runs well.
    void run_probes(core::time_point now);

    /// @return Queued jobs that are at fault, once each.
    std::vector<core::job_id> take_faulty_queued();

private:
    void start_quarantine(core::time_point now, std::size_t slot);
    void end_quarantine(std::size_t slot, char const* reason);
    void take_back_failures(core::time_point now, std::size_t slot);

    planner_state& m_state;
    tick_decisions& m_decisions;
    std::set<core::job_id> m_faulty_jobs;
    std::set<std::size_t> m_probing;
};

} // namespace turmericswitch::placement

#endif
