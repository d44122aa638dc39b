#ifndef TURMERICSWITCH_CONTROL_LEADER_SUBMISSION_HANDLER_HPP
#define TURMERICSWITCH_CONTROL_LEADER_SUBMISSION_HANDLER_HPP

#include "core/events/event.hpp"
#include "node/replica.hpp"
#include "overload/admit/commit_deadline.hpp"
#include "telemetry/metrics/metrics_registry.hpp"
#include "workflow/dispatch/dispatcher.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace turmericswitch::control
{

/// A `submit_workflow` that a gateway has forwarded.
struct forwarded_submission
{
    core::command_envelope envelope;
    /// By `process::boot_time`.
    core::time_point received;

    core::submit_workflow const& command() const;
    /// @return End of the caller's time, if the gateway has sent it.
    std::optional<core::time_point> answer_by() const;
};

/// Accepts, refuses and cancels workflows on the leader.
///
/// Use it only on the event loop's thread.
class submission_handler
    : public std::enable_shared_from_this<submission_handler>
{
public:
    using reply_hook = std::function<void(core::command_reply)>;

    /// The dispatcher must outlive the call of `end`, the other references the
    /// object.
    submission_handler(replica& node,
                       workflow::dispatcher& dispatcher,
                       core::event_hook on_event,
                       telemetry::metrics_registry& metrics);

    /// Submissions that wait for a read get `not_leader` after it.
    void end();

    /// Adds a commit of another command to the estimate of the commit time.
    void add_commit_time(core::duration took);

    /// Proposes a workflow, or refuses it with `not_admitted`, or with
    /// `deadline_exceeded` if it can't be committed in its caller's time. A
    /// refusal follows a confirmed read: a deposed leader may not know that the
    /// workflow was accepted.
    void submit(forwarded_submission submission, reply_hook done);

    /// Proposes a `cancel_workflow`. If it finds no workflow, submissions that
    /// arrive after it are refused, also by the next leaders.
    void cancel(core::command_envelope envelope, reply_hook done);

private:
    void propose(core::command_envelope envelope, reply_hook done);
    /// @return True if the workflow is accepted or was proposed, or has no
    /// queue.
    bool must_propose(core::submit_workflow const& command) const;
    /// @return Nothing if the workflow is to be proposed.
    std::optional<core::command_reply>
    refusal_of(forwarded_submission const& submission);
    std::optional<overload::expired_submission>
    expiry_of(forwarded_submission const& submission) const;
    /// Counts and logs the refusal.
    core::command_reply
    refuse_expired(forwarded_submission const& submission,
                   overload::expired_submission const& expired);
    std::optional<core::command_reply>
    admission_refusal(core::submit_workflow const& command);

    replica& m_node;
    workflow::dispatcher& m_dispatcher;
    core::event_hook m_on_event;
    telemetry::metrics_registry& m_metrics;
    bool m_ended = false;
    /// Number of proposals of each workflow that were not answered.
    std::map<core::workflow_id, std::size_t> m_proposed;
    overload::commit_time_estimate m_commit_estimate;
    telemetry::counter& m_expired;
};

} // namespace turmericswitch::control

#endif
