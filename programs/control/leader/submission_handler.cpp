#include "leader/submission_handler.hpp"

#include "node/wall_clock.hpp"
#include "process/clock/boot_clock.hpp"
#include "process/loop/event_loop.hpp"

#include <utility>

namespace turmericswitch::control
{

core::submit_workflow const& forwarded_submission::command() const
{
    return std::get<core::submit_workflow>(envelope.body);
}

std::optional<core::time_point> forwarded_submission::answer_by() const
{
    return envelope.time_left ? std::optional(received + *envelope.time_left)
                              : std::nullopt;
}

submission_handler::submission_handler(replica& node,
                                       workflow::dispatcher& dispatcher,
                                       core::event_hook on_event,
                                       telemetry::metrics_registry& metrics)
    : m_node(node),
      m_dispatcher(dispatcher),
      m_on_event(std::move(on_event)),
      m_metrics(metrics),
      m_expired(
          metrics.counter("turmericswitch_control_expired_submissions_total",
                          "Submissions that were refused because they can't be "
                          "committed in their callers' time."))
{
}

void submission_handler::end()
{
    m_ended = true;
}

void submission_handler::add_commit_time(core::duration took)
{
    m_commit_estimate.add(process::boot_time(), took);
}

void submission_handler::submit(forwarded_submission submission,
                                reply_hook done)
{
    if (must_propose(submission.command()) ||
        (!expiry_of(submission) && !admission_refusal(submission.command())))
    {
        propose(std::move(submission.envelope), std::move(done));
        return;
    }
    m_node.read(
        [self = shared_from_this(),
         submission = std::move(submission),
         done = std::move(done)](core::result_code code)
        {
            if (self->m_ended || code != core::result_code::ok)
            {
                core::command_reply refusal;
                refusal.code = core::result_code::not_leader;
                done(refusal);
                return;
            }
            if (auto const refusal = self->refusal_of(submission))
            {
                done(*refusal);
                return;
            }
            self->propose(submission.envelope, done);
        });
}

void submission_handler::cancel(core::command_envelope envelope,
                                reply_hook done)
{
    auto& command = std::get<core::cancel_workflow>(envelope.body);
    bool const is_known =
        m_node.state().workflows().find(
            command.queue, command.address, command.workflow) != nullptr;
    // Earlier releases can't read entries that have `refuse_for`, so it is set
    // only where it may be needed.
    command.refuse_for =
        is_known ? core::duration::zero() : workflow::unknown_cancel_retention;
    m_node.propose(std::move(envelope.body),
                   envelope.client,
                   envelope.sequence,
                   std::move(done));
}

void submission_handler::propose(core::command_envelope envelope,
                                 reply_hook done)
{
    auto const id = std::get<core::submit_workflow>(envelope.body).workflow;
    ++m_proposed[id];
    m_node.propose(std::move(envelope.body),
                   envelope.client,
                   envelope.sequence,
                   [self = shared_from_this(),
                    id,
                    begun = process::boot_time(),
                    done = std::move(done)](core::command_reply const& reply)
                   {
                       if (reply.code == core::result_code::ok)
                       {
                           auto const now = process::boot_time();
                           self->m_commit_estimate.add(now, now - begun);
                       }
                       auto const proposed = self->m_proposed.find(id);
                       if (--proposed->second == 0)
                       {
                           self->m_proposed.erase(proposed);
                       }
                       done(reply);
                   });
}

bool submission_handler::must_propose(
    core::submit_workflow const& command) const
{
    auto const& state = m_node.state();
    return state.config().find_queue(command.queue, command.address) ==
               nullptr ||
           m_proposed.contains(command.workflow) ||
           state.workflows().find(command.workflow) != nullptr;
}

std::optional<core::command_reply>
submission_handler::refusal_of(forwarded_submission const& submission)
{
    if (must_propose(submission.command()))
    {
        return std::nullopt;
    }
    if (auto const expired = expiry_of(submission))
    {
        return refuse_expired(submission, *expired);
    }
    return admission_refusal(submission.command());
}

std::optional<overload::expired_submission>
submission_handler::expiry_of(forwarded_submission const& submission) const
{
    auto const now = process::boot_time();
    return overload::find_expired(
        now, submission.answer_by(), m_commit_estimate.at(now));
}

core::command_reply
submission_handler::refuse_expired(forwarded_submission const& submission,
                                   overload::expired_submission const& expired)
{
    auto const waited = process::boot_time() - submission.received;
    auto const& command = submission.command();
    m_expired.add();
    m_on_event({core::event_code::submission_expired,
                {core::text_field("workflow", command.workflow.value()),
                 core::text_field("queue", command.queue.value()),
                 core::text_field("why", "leader"),
                 core::time_field("time_left_ms", expired.time_left),
                 core::time_field("commit_ms", expired.commit_time),
                 core::time_field("waited_ms", waited)}});
    core::command_reply reply;
    reply.code = core::result_code::deadline_exceeded;
    reply.text = "not run: a commit takes longer than the caller's time";
    // The next submission waits about as long before it is handled.
    reply.retry_after = waited + expired.commit_time;
    return reply;
}

std::optional<core::command_reply>
submission_handler::admission_refusal(core::submit_workflow const& command)
{
    core::workflow_record record;
    record.workflow = command.workflow;
    record.queue =
        *m_node.state().config().find_queue(command.queue, command.address);
    record.description = command.description;
    record.submitted = m_node.cluster_now();
    auto const refusal = m_dispatcher.refusal(
        {process::event_loop::now(), record.submitted, wall_now()}, record);
    if (!refusal)
    {
        return std::nullopt;
    }
    core::command_reply reply;
    reply.code = core::result_code::not_admitted;
    reply.text = "the work ahead takes too long";
    reply.retry_after = refusal->retry_after;
    if (!refusal->is_repeated)
    {
        m_metrics
            .counter("turmericswitch_control_refused_jobs_total",
                     "Jobs that were refused because they would end too late.",
                     {{"queue", command.queue.value()}})
            .add();
    }
    return reply;
}

} // namespace turmericswitch::control
