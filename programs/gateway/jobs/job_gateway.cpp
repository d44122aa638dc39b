#include "gateway/jobs/job_gateway.hpp"

#include "core/results/last_reason.hpp"
#include "process/loop/event_loop.hpp"

namespace turmericswitch::gateway
{

namespace
{

using core::result_code;

/// An election and the first reports of workers take about this long.
constexpr core::duration leader_retry = std::chrono::seconds(1);

} // namespace

job_gateway::job_gateway(shared::control_link& control,
                         telemetry::metrics_registry& metrics)
    : m_client(control),
      m_accepted(
          metrics.counter("turmericswitch_gateway_job_calls_answered_total",
                          "Callers' job calls that control answered.")),
      m_refused(
          metrics.counter("turmericswitch_gateway_job_calls_refused_total",
                          "Callers' job calls that certainly did nothing.")),
      m_unknown(
          metrics.counter("turmericswitch_gateway_job_calls_unknown_total",
                          "Callers' job calls with an unknown outcome."))
{
}

shared::config_watch::known_state
job_gateway::configure(core::watch_answer const& news)
{
    if (news.config && news.config->document.version > 0)
    {
        m_queues.publish(
            std::make_shared<queue_table const>(news.config->document));
        m_log.info("configuration version " +
                   std::to_string(news.config->document.version) +
                   " is in force");
    }
    if (news.config)
    {
        m_revision = news.current;
    }
    return {m_revision, news.registry};
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
    if (queue == nullptr)
    {
        return core::fail(result_code::queue_unknown,
                          "no queue has this host and path");
    }
    return platform::queue_match{queue->queue,
                                 path.substr(queue->path_prefix.size()),
                                 table->body_limit()};
}

platform::caller_hooks job_gateway::hooks()
{
    platform::caller_hooks hooks;
    hooks.find_queue = [this](std::string const& host, std::string const& path)
    { return find_queue(host, path); };
    hooks.submit =
        [this](core::submit_workflow const& command, core::duration patience)
    {
        auto const begun = process::event_loop::now();
        return finish("submit",
                      command.workflow.value(),
                      begun,
                      m_client.submit(command, patience));
    };
    hooks.cancel =
        [this](core::cancel_workflow const& command, core::duration patience)
    {
        auto const begun = process::event_loop::now();
        return finish("cancel",
                      command.workflow.value(),
                      begun,
                      m_client.cancel(command, patience));
    };
    hooks.query =
        [this](core::workflow_query const& query, core::duration patience)
    {
        auto const begun = process::event_loop::now();
        return finish("query",
                      query.workflow.value().empty() ? query.queue.value()
                                                     : query.workflow.value(),
                      begun,
                      m_client.query(query, patience));
    };
    return hooks;
}

platform::job_outcome job_gateway::finish(std::string const& call,
                                          std::string const& job,
                                          core::time_point begun,
                                          job_result const& result)
{
    auto const took = process::event_loop::now() - begun;
    platform::job_outcome outcome;
    outcome.code = result.code;
    outcome.text = result.text;
    outcome.state = result.answer.state;
    outcome.waiting = result.answer.waiting;
    outcome.retry_after = leader_retry;
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
    m_log.info(call + ' ' + job + ": " +
               std::string(core::to_string(result.code)) + " after " +
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(took)
                       .count()) +
               " ms");
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
