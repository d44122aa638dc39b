#include "api/config_sender.hpp"

#include <utility>

namespace turmericswitch::control
{

config_sender::config_sender(cluster_state::configuration_state const& config,
                             telemetry::metrics_registry& metrics)
    : m_config(config),
      m_payloads(config),
      m_bytes(metrics.counter("turmericswitch_control_config_bytes_total",
                              "Bytes of configuration sent to processes.")),
      m_chunks(metrics.counter("turmericswitch_control_config_chunks_total",
                               "Chunks of configuration sent.")),
      m_deltas(metrics.counter("turmericswitch_control_config_deltas_total",
                               "Deltas offered to processes.")),
      m_wholes(metrics.counter(
          "turmericswitch_control_config_wholes_total",
          "Whole configurations offered or sent to processes.")),
      m_waits(metrics.counter("turmericswitch_control_config_waits_total",
                              "Requests for configuration that were told to "
                              "ask again later.")),
      m_unavailable(
          metrics.counter("turmericswitch_control_config_unavailable_total",
                          "Requests for chunks of a configuration that is not "
                          "kept here.")),
      m_in_flight(metrics.gauge("turmericswitch_control_config_bytes_in_flight",
                                "Bytes of configuration on their way.")),
      m_in_force_time(metrics.latency(
          "turmericswitch_control_config_in_force_seconds",
          "Time from the first answer that names a revision until a process "
          "reports it in force."))
{
}

void config_sender::on_watch(core::time_point now,
                             core::watch_request const& request)
{
    if (request.in_force >= m_config.current())
    {
        m_budget.release(now, request.process);
    }
    record_in_force(now, request);
}

void config_sender::record_in_force(core::time_point now,
                                    core::watch_request const& request)
{
    if (request.delta_base && request.in_force == m_offered &&
        m_reported.insert(request.process).second)
    {
        m_in_force_time.add(now - m_offered_since);
    }
}

void config_sender::add_transfer(core::time_point now,
                                 core::watch_request const& request,
                                 core::watch_answer& answer)
{
    if (!request.delta_base || answer.current <= request.in_force)
    {
        return;
    }
    auto const payload = m_payloads.find(answer.current, *request.delta_base);
    if (!payload)
    {
        return;
    }
    if (answer.current > m_offered)
    {
        m_offered = answer.current;
        m_offered_since = now;
        m_reported.clear();
    }
    bool const is_whole = payload->content.base == core::revision{};
    (is_whole ? m_wholes : m_deltas).add();
    answer.transfer = core::config_transfer{payload->content, {}};
    if (payload->bytes.size() <= core::config_chunk_bytes &&
        !m_budget.is_sending_to(now, request.process) &&
        m_budget.request(now, request.process, payload->bytes.size())
            .is_granted)
    {
        answer.transfer->bytes = payload->bytes;
        count_bytes(now, payload->bytes.size());
    }
}

void config_sender::count_whole(core::time_point now,
                                core::client_id const& process,
                                std::size_t bytes)
{
    m_wholes.add();
    m_budget.charge(now, process, bytes);
    count_bytes(now, bytes);
}

core::chunk_answer
config_sender::answer_chunk(core::time_point now,
                            core::chunk_request const& request)
{
    core::chunk_answer answer;
    auto const& wanted = request.content;
    auto const payload = m_payloads.find(wanted.made, wanted.base);
    if (!payload || payload->content != wanted ||
        request.offset >= payload->bytes.size())
    {
        m_unavailable.add();
        answer.code = core::result_code::configuration_unavailable;
        return answer;
    }
    auto bytes =
        payload->bytes.substr(request.offset, core::config_chunk_bytes);
    auto const admission = m_budget.request(now, request.process, bytes.size());
    if (!admission.is_granted)
    {
        m_waits.add();
        answer.retry_after = admission.retry_after;
        return answer;
    }
    m_chunks.add();
    count_bytes(now, bytes.size());
    answer.bytes = std::move(bytes);
    return answer;
}

void config_sender::count_bytes(core::time_point now, std::size_t bytes)
{
    m_bytes.add(bytes);
    m_in_flight.set(static_cast<std::int64_t>(m_budget.bytes_in_flight(now)));
}

} // namespace turmericswitch::control
