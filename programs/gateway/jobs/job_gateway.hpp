#ifndef TURMERICSWITCH_GATEWAY_JOBS_JOB_GATEWAY_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_JOB_GATEWAY_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "gateway/jobs/job_client.hpp"
#include "gateway/jobs/queue_table.hpp"
#include "platform/api/caller_api.hpp"
#include "shared/control_link/config_watch.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <string>

namespace turmericswitch::gateway
{

/// The gateway's service for queues: takes the configuration's documents from
/// control and carries callers' job calls to the leader.
class job_gateway
{
public:
    job_gateway(shared::control_link& control,
                telemetry::metrics_registry& metrics);

    /// Takes news of control.
    shared::config_watch::known_state configure(core::watch_answer const& news);

    /// The hooks for the callers' interface; they refer to this object.
    platform::caller_hooks hooks();

    /// @return Empty text while new connections are welcome, else the reason.
    std::string readiness() const;

    /// Reports as not ready from now on.
    void begin_stop();

private:
    std::optional<platform::queue_match> find_queue(std::string const& host,
                                                    std::string const& path);
    void note_rejected(platform::rejected_call const& call);
    platform::job_outcome finish(std::string const& call,
                                 core::queue_id const& queue,
                                 core::workflow_id const& workflow,
                                 core::time_point begun,
                                 job_result const& result);

    telemetry::logger m_log{"gateway"};
    job_client m_client;
    core::snapshot_publisher<queue_table> m_queues;
    core::revision m_revision;
    std::atomic<bool> m_stopping = false;
    telemetry::counter& m_accepted;
    telemetry::counter& m_refused;
    telemetry::counter& m_unknown;
    telemetry::counter& m_rejected;
    telemetry::latency_metric& m_call_time;
    std::atomic<std::uint64_t> m_version = 0;
};

} // namespace turmericswitch::gateway

#endif
