#ifndef TURMERICSWITCH_GATEWAY_JOBS_JOB_CLIENT_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_JOB_CLIENT_HPP

#include "core/messages/commands.hpp"
#include "core/messages/workflow.hpp"
#include "shared/control_link/control_link.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace turmericswitch::gateway
{

/// Result of a call to control about a workflow.
struct job_result
{
    core::result_code code = core::result_code::ok;
    std::string text;
    core::workflow_answer answer;
};

/// Calls the control leader about workflows and waits for its answer.
///
/// All calls are idempotent by the workflow's id, so a lost one is sent again
/// while there is time. A refusal (`not_leader`) is given only when no call
/// can have been carried out; after a lost call the result is
/// `outcome_unknown`.
class job_client
{
public:
    explicit job_client(shared::control_link& control);

    job_result submit(core::submit_workflow const& command,
                      core::duration patience);
    job_result cancel(core::cancel_workflow const& command,
                      core::duration patience);
    job_result query(core::workflow_query const& query,
                     core::duration patience);

private:
    struct call_plan;
    job_result run(call_plan const& plan);
    job_result command(core::command_body body, core::duration patience);

    shared::control_link& m_control;
    /// Until when a call counts on no leader, in microseconds of the event
    /// loop's clock.
    std::atomic<std::int64_t> m_no_leader = 0;
};

} // namespace turmericswitch::gateway

#endif
