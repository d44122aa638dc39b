#ifndef TURMERICSWITCH_SIDECAR_WORKER_WORKER_SERVICE_HPP
#define TURMERICSWITCH_SIDECAR_WORKER_WORKER_SERVICE_HPP

#include "shared/control_link/control_link.hpp"
#include "sidecar/settings/sidecar_settings.hpp"
#include "telemetry/telemetry.hpp"
#include "transport/transport.hpp"
#include "web/web.hpp"
#include "workflow/agent/worker_agent.hpp"

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace turmericswitch::sidecar
{

/// Runs the worker agent on the thread of an `io_pool` and connects it to the
/// worker's runtime and to the control leader.
class worker_service
{
public:
    /// @param io Must have one thread: the agent isn't thread-safe.
    worker_service(transport::io_pool& io,
                   shared::control_link& control,
                   worker_settings const& settings,
                   core::incarnation incarnation,
                   telemetry::metrics_registry& metrics);

    /// @return HTTP routes for the worker's registration.
    std::vector<web::route> routes();

    /// Stops the agent. Calls to the worker that are in progress still
    /// complete.
    void stop();

    /// @return Empty once a worker has registered, else the reason.
    std::string readiness() const;

private:
    workflow::leader_calls make_leader_calls();
    /// @return True if no registration was refused for this reason before.
    bool is_new_reason(std::string const& why);
    workflow::agent_hooks make_hooks(core::endpoint const& runtime);
    /// @return Calls to the worker that count the rows skipped in its answers.
    workflow::worker_runtime make_runtime(core::endpoint const& runtime);

    telemetry::logger m_log{"sidecar"};
    transport::io_pool& m_io;
    shared::control_link& m_control;
    core::endpoint m_runtime;
    std::mutex m_reasons_mutex;
    std::set<std::string> m_reasons;
    telemetry::counter& m_unreadable_reports;
    telemetry::counter& m_skipped_rows;
    std::atomic<bool> m_registered = false;
    workflow::worker_agent m_agent;
    std::shared_ptr<shared::control_link::leader_hook const> m_leader_hook;
};

} // namespace turmericswitch::sidecar

#endif
