#include "gateway/jobs/job_gateway.hpp"

#include "core/config/queue_address.hpp"
#include "core/results/last_reason.hpp"
#include "process/clock/boot_clock.hpp"
#include "process/loop/event_loop.hpp"

#include <algorithm>

namespace turmericswitch::gateway
{

namespace
{

using core::result_code;

/// An election and the workers' first reports to the new leader take about this
/// long.
constexpr core::duration retry_after_refusal = std::chrono::seconds(1);

/// Characters of a caller's header value that are logged.
constexpr std::size_t max_logged_value = 32;

} // namespace

job_gateway::job_gateway(shared::control_link& control,
                         telemetry::metrics_registry& metrics,
                         core::duration max_config_age)
    : m_client(control),
      m_max_config_age(max_config_age),
      m_accepted(
          metrics.counter("turmericswitch_gateway_job_calls_answered_total",
                          "Callers' job calls that control answered.")),
      m_refused(
          metrics.counter("turmericswitch_gateway_job_calls_refused_total",
                          "Callers' job calls that certainly did nothing.")),
      m_unknown(
          metrics.counter("turmericswitch_gateway_job_calls_unknown_total",
                          "Callers' job calls with an unknown outcome.")),
      m_rejected(
          metrics.counter("turmericswitch_gateway_job_calls_rejected_total",
                          "Callers' calls that named no queue or no valid "
                          "job, or came before the first configuration.")),
      m_expired(
          metrics.counter("turmericswitch_gateway_expired_submissions_total",
                          "Submissions that the gateway refused because it "
                          "found no leader in their callers' time.")),
      m_call_time(metrics.latency("turmericswitch_gateway_job_call_seconds",
                                  "Time of callers' job calls."))
{
}

shared::config_watch::known_state
job_gateway::configure(core::watch_answer const& update)
{
    if (update.current < m_revision)
    {
        // From a deposed leader, or of a poll that was overtaken.
        return {m_revision, update.registry};
    }
    if (update.config && update.config->document.version > 0)
    {
        m_queues.publish(
            std::make_shared<queue_table const>(update.config->document));
        m_config_version = update.config->document.version;
        m_log.write(
            {core::event_code::configuration_in_force,
             {core::number_field("version", update.config->document.version),
              core::number_field("queues",
                                 update.config->document.queues.size())}});
    }
    if (update.config)
    {
        m_revision = update.current;
    }
    return {m_revision, update.registry};
}

void job_gateway::config_confirmed(core::time_point as_of) noexcept
{
    m_config_confirmed = as_of;
}

bool job_gateway::is_config_current() const
{
    return process::boot_time() - m_config_confirmed.load() <= m_max_config_age;
}

std::optional<platform::queue_match>
job_gateway::find_queue(std::string const& host, std::string const& path)
{
    auto const table = m_queues.current();
    if (!table)
    {
        return core::fail(result_code::not_ready,
                          "no configuration from control yet");
    }
    auto const* const queue = table->find(host, path);
    if (queue == nullptr && !is_config_current())
    {
        return core::fail(result_code::not_ready,
                          "the configuration here may be out of date");
    }
    if (queue == nullptr)
    {
        return core::fail(result_code::queue_unknown,
                          "no queue has this host and path");
    }
    return platform::queue_match{queue->queue,
                                 core::address_of(*queue),
                                 path.substr(queue->path_prefix.size()),
                                 table->body_limit()};
}

platform::caller_hooks job_gateway::hooks()
{
    platform::caller_hooks hooks;
    hooks.find_queue = [this](std::string const& host, std::string const& path)
    { return find_queue(host, path); };
    hooks.submit =
        [this](core::submit_workflow const& command, core::duration timeout)
    {
        auto const started_at = process::event_loop::now();
        auto const result = m_client.submit(command, timeout);
        if (result.expired)
        {
            record_expired(command,
                           *result.expired,
                           process::event_loop::now() - started_at);
        }
        auto outcome = finish_call(
            "submit", command.queue, command.workflow, started_at, result);
        outcome.retry_after = note_admission(command.address, result);
        return outcome;
    };
    hooks.cancel =
        [this](core::cancel_workflow const& command, core::duration timeout)
    {
        auto const started_at = process::event_loop::now();
        return finish_call("cancel",
                           command.queue,
                           command.workflow,
                           started_at,
                           m_client.cancel(command, timeout));
    };
    hooks.query =
        [this](core::workflow_query const& query, core::duration timeout)
    {
        auto const started_at = process::event_loop::now();
        return finish_call("query",
                           query.queue,
                           query.workflow,
                           started_at,
                           m_client.query(query, timeout));
    };
    hooks.rejected = [this](platform::rejected_call const& call)
    { record_rejected(call); };
    hooks.unreadable_deadline = [this](std::string const& value)
    {
        m_log.write(
            {core::event_code::message_unreadable,
             {core::text_field("message", "X-Deadline-Ms"),
              core::text_field(
                  "why", "not a time: " + value.substr(0, max_logged_value))}});
    };
    return hooks;
}

void job_gateway::record_rejected(platform::rejected_call const& call)
{
    m_rejected.add();
    m_log.write(
        {core::event_code::call_rejected,
         {core::text_field("method", call.method),
          core::text_field("host", call.host),
          core::text_field("path", call.path),
          core::text_field("result", core::to_string(call.code)),
          core::text_field("why", call.text),
          core::number_field("config_version", m_config_version.load())}});
}

void job_gateway::record_expired(core::submit_workflow const& command,
                                 overload::expired_submission const& expired,
                                 core::duration waited)
{
    m_expired.add();
    m_log.write({core::event_code::submission_expired,
                 {core::text_field("workflow", command.workflow.value()),
                  core::text_field("queue", command.queue.value()),
                  core::text_field("why", "no_leader"),
                  core::time_field("time_left_ms", expired.time_left),
                  core::time_field("commit_ms", expired.commit_time),
                  core::time_field("waited_ms", waited)}});
}

core::duration job_gateway::note_admission(core::queue_address const& queue,
                                           job_result const& result)
{
    auto const now = process::event_loop::now();
    if (result.code == result_code::not_admitted)
    {
        m_refusals.refused(now, queue, result.retry_after);
    }
    else if (result.code == result_code::ok)
    {
        m_refusals.accepted(queue);
    }
    auto const otherwise =
        result.code == result_code::deadline_exceeded
            ? std::max(result.retry_after, retry_after_refusal)
            : retry_after_refusal;
    return m_refusals.retry_after(now, queue, otherwise);
}

platform::job_outcome
job_gateway::finish_call(std::string const& call,
                         core::queue_id const& queue,
                         core::workflow_id const& workflow,
                         core::time_point started_at,
                         job_result const& result)
{
    auto const took = process::event_loop::now() - started_at;
    platform::job_outcome outcome;
    outcome.code = result.code;
    outcome.text = result.text;
    outcome.state = result.answer.state;
    outcome.waiting = result.answer.waiting;
    outcome.retry_after = retry_after_refusal;
    if (result.code == result_code::ok)
    {
        m_accepted.add();
    }
    else if (result.code == result_code::outcome_unknown)
    {
        m_unknown.add();
    }
    else
    {
        m_refused.add();
    }
    m_call_time.add(took);
    m_log.write(
        {core::event_code::call_answered,
         {core::text_field("call", call),
          core::text_field("workflow", workflow.value()),
          core::text_field("queue", queue.value()),
          core::text_field("result", core::to_string(result.code)),
          core::text_field("why", result.text),
          core::time_field("after_ms", took),
          core::number_field("config_version", m_config_version.load())}});
    return outcome;
}

std::string job_gateway::readiness() const
{
    if (m_stopping)
    {
        return "the gateway is stopping";
    }
    return m_queues.current() ? std::string()
                              : "no configuration from control yet";
}

void job_gateway::begin_stop()
{
    m_stopping = true;
}

} // namespace turmericswitch::gateway
