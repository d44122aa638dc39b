#ifndef TURMERICSWITCH_GATEWAY_JOBS_JOB_GATEWAY_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_JOB_GATEWAY_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "gateway/jobs/job_client.hpp"
#include "gateway/jobs/queue_table.hpp"
#include "gateway/jobs/refusal_cache.hpp"
#include "platform/api/caller_api.hpp"
#include "shared/control_link/config_watch.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <string>

namespace turmericswitch::gateway
{

/// Serves callers' job calls: finds the queue of a call in the configuration
/// document from control and forwards the call to the control leader.
class job_gateway
{
public:
    /// @param control Must outlive the gateway, as must `metrics`.
    /// @param max_config_age Longest time since the configuration was last
    ///        confirmed for which an unknown queue counts as not configured.
    job_gateway(shared::control_link& control,
                telemetry::metrics_registry& metrics,
                core::duration max_config_age);

    /// Applies an update from control; for `shared::config_watch`.
    shared::config_watch::known_state
    configure(core::watch_answer const& update);

    /// Notes that the configuration has all changes that were in force at a
    /// time by `process::boot_time`; for `shared::watch_options`.
    void config_confirmed(core::time_point as_of) noexcept;

    /// @return Hooks for the callers' interface, which refer to this object.
    platform::caller_hooks hooks();

    /// @return Empty while the gateway takes new connections, else the reason.
    std::string readiness() const;

    /// Makes `readiness` report the gateway as not ready from now on.
    void begin_stop();

private:
    std::optional<platform::queue_match> find_queue(std::string const& host,
                                                    std::string const& path);
    bool is_config_current() const;
    void record_rejected(platform::rejected_call const& call);
    /// Counts and logs a submission that the gateway itself has refused.
    void record_expired(core::submit_workflow const& command,
                        overload::expired_submission const& expired,
                        core::duration waited);
    /// @return The delay for `Retry-After`.
    core::duration note_admission(core::queue_address const& queue,
                                  job_result const& result);
    platform::job_outcome finish_call(std::string const& call,
                                      core::queue_id const& queue,
                                      core::workflow_id const& workflow,
                                      core::time_point started_at,
                                      job_result const& result);

    telemetry::logger m_log{"gateway"};
    job_client m_client;
    refusal_cache m_refusals;
    core::duration m_max_config_age;
    std::atomic<core::time_point> m_config_confirmed;
    core::snapshot_publisher<queue_table> m_queues;
    core::revision m_revision;
    std::atomic<bool> m_stopping = false;
    telemetry::counter& m_accepted;
    telemetry::counter& m_refused;
    telemetry::counter& m_unknown;
    telemetry::counter& m_rejected;
    telemetry::counter& m_expired;
    telemetry::latency_metric& m_call_time;
    std::atomic<std::uint64_t> m_config_version = 0;
};

} // namespace turmericswitch::gateway

#endif
