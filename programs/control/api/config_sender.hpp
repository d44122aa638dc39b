#ifndef TURMERICSWITCH_CONTROL_API_CONFIG_SENDER_HPP
#define TURMERICSWITCH_CONTROL_API_CONFIG_SENDER_HPP

#include "api/config_payloads.hpp"
#include "api/transfer_budget.hpp"
#include "core/messages/registry.hpp"
#include "telemetry/metrics/metrics_registry.hpp"

#include <cstddef>
#include <set>

namespace turmericswitch::control
{

/// Sends the configuration to gateways as deltas and in chunks.
///
/// Every control instance has one. A watch answer of the leader names the
/// content; its bytes may come from any instance. Has no I/O and reads no
/// clock.
class config_sender
{
public:
    /// @param config Must outlive this object, as must `metrics`.
    config_sender(cluster_state::configuration_state const& config,
                  telemetry::metrics_registry& metrics);

    /// Call when a watch request arrives.
    void on_watch(core::time_point now, core::watch_request const& request);

    /// Adds the transfer to an answer of the leader, if the process takes
    /// transfers and lacks the answer's revision. The bytes are added if they
    /// fit one chunk and the process is not receiving them already.
    void add_transfer(core::time_point now,
                      core::watch_request const& request,
                      core::watch_answer& answer);

    /// Counts a whole configuration, which is sent to a process of an earlier
    /// release.
    void count_whole(core::time_point now,
                     core::client_id const& process,
                     std::size_t bytes);

    core::chunk_answer answer_chunk(core::time_point now,
                                    core::chunk_request const& request);

private:
    void count_bytes(core::time_point now, std::size_t bytes);
    void record_in_force(core::time_point now,
                         core::watch_request const& request);

    cluster_state::configuration_state const& m_config;
    config_payloads m_payloads;
    transfer_budget m_budget;
    /// The newest revision that was offered, and since when.
    core::revision m_offered;
    core::time_point m_offered_since;
    /// Processes that have reported the offered revision.
    std::set<core::client_id> m_reported;
    telemetry::counter& m_bytes;
    telemetry::counter& m_chunks;
    telemetry::counter& m_deltas;
    telemetry::counter& m_wholes;
    telemetry::counter& m_waits;
    telemetry::counter& m_unavailable;
    telemetry::gauge& m_in_flight;
    telemetry::latency_metric& m_in_force_time;
};

} // namespace turmericswitch::control

#endif
