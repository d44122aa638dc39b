#ifndef TURMERICSWITCH_GATEWAY_JOBS_JOB_CLIENT_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_JOB_CLIENT_HPP

#include "core/messages/commands.hpp"
#include "core/messages/workflow.hpp"
#include "overload/admit/commit_deadline.hpp"
#include "shared/control_link/control_link.hpp"

#include <memory>
#include <string>

namespace turmericswitch::gateway
{

/// Result of a workflow call to control.
struct job_result
{
    core::result_code code = core::result_code::ok;
    std::string text;
    core::workflow_answer answer;
    /// For `not_admitted` and `deadline_exceeded`: when a new submission has a
    /// chance.
    core::duration retry_after{};
    /// Set if the client itself has refused a submission.
    std::optional<overload::expired_submission> expired;
};

/// Sends workflow calls to the control leader and waits for the answer.
///
/// All calls are idempotent by workflow id, so a call without an answer is
/// retried while time is left. A call that fails ends as `outcome_unknown` if
/// its command may have been carried out, and as `not_leader` only if that is
/// ruled out.
///
/// A submission carries the time that its caller has left, so that the leader
/// does not propose it too late. The first attempt is always sent, because only
/// the leader knows whether the submission is a resend of an accepted one. A
/// later attempt that would end too late is not sent: the call ends as
/// `deadline_exceeded` if no attempt can have been carried out.
class job_client
{
public:
    /// @param control Must outlive the client.
    explicit job_client(shared::control_link& control);

    /// Each call blocks until control has answered or the search for a leader
    /// has timed out.
    ///
    /// @param timeout How long the caller waits for its answer.
    job_result submit(core::submit_workflow const& command,
                      core::duration timeout);
    job_result cancel(core::cancel_workflow const& command,
                      core::duration timeout);
    job_result query(core::workflow_query const& query, core::duration timeout);

private:
    struct call_plan;
    job_result run(call_plan const& plan);
    job_result command(core::command_envelope envelope,
                       core::duration timeout,
                       std::optional<core::time_point> answer_by);
    /// @param at When the next attempt is sent, by `process::boot_time`.
    /// @param sent_at Of the answered attempt, by `process::boot_time`.
    /// @param may_have_run True if an earlier attempt was lost.
    job_result finish(call_plan const& plan,
                      job_result answer,
                      core::time_point sent_at,
                      bool may_have_run);
    void note_earlier_release(call_plan const& plan, core::result_code code);
    std::optional<core::duration>
    time_left(std::optional<core::time_point> answer_by) const;
    std::optional<overload::expired_submission>
    expiry_of(call_plan const& plan, core::time_point at) const;
    void set_no_leader_until(core::time_point until);

    shared::control_link& m_control;
    struct leader_signal;
    std::shared_ptr<leader_signal> m_signal;
    std::shared_ptr<shared::control_link::leader_hook const> m_leader_hook;
};

} // namespace turmericswitch::gateway

#endif
