#ifndef TURMERICSWITCH_SIDECAR_SERVICE_SIDECAR_SERVICE_HPP
#define TURMERICSWITCH_SIDECAR_SERVICE_SIDECAR_SERVICE_HPP

#include "admission/admission.hpp"
#include "core/messages/registry.hpp"
#include "process/loop/event_loop.hpp"
#include "shared/control_link/control_link.hpp"
#include "sidecar/service/backend_client.hpp"
#include "sidecar/settings/sidecar_settings.hpp"
#include "telemetry/telemetry.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace turmericswitch::sidecar
{

/// Serves the attempts of gateways: lets the admission controller decide about
/// them, forwards requests to the backend server, and keeps the backend server
/// registered with control.
class sidecar_service
{
public:
    /// @param control Must outlive the service.
    sidecar_service(sidecar_settings const& settings,
                    shared::control_link& control,
                    telemetry::metrics_registry& metrics,
                    core::incarnation incarnation);
    /// Waits for an announce call in flight.
    ~sidecar_service();

    sidecar_service(sidecar_service const&) = delete;
    sidecar_service& operator=(sidecar_service const&) = delete;

    /// Starts the event loop and registers the backend server with control.
    ///
    /// @param reachable_at RPC endpoint of this sidecar for gateways.
    void start(core::endpoint const& reachable_at);

    /// Handles one RPC; called on io threads.
    void handle(transport::rpc_request const& request,
                transport::responder answer);

    /// Applies the configuration in `update`, if there is one. Called by
    /// `shared::config_watch` on an io thread.
    void configure(core::watch_answer const& update);

    /// Refuses new and waiting attempts and announces the drain to control.
    /// Running attempts finish.
    void drain();

    /// @return Number of running attempts; may be called from any thread.
    std::size_t running() const noexcept;

    /// Stops the event loop.
    void stop();

    /// @return Empty once control has accepted a registration, else the reason.
    std::string readiness() const;

private:
    void add_metrics(telemetry::metrics_registry& metrics);
    void handle_tick();
    void handle_attempt(core::attempt_request request,
                        transport::responder answer);
    void handle_cancel(core::cancel_request const& request,
                       transport::responder answer);
    void perform(admission::admission_actions actions);
    void start_attempt(core::attempt_request request);
    void handle_backend_result(core::attempt_id const& id,
                               web::http_result result);
    void send_answer(core::attempt_answer const& content);
    void announce();
    void handle_announce_result(shared::control_result const& result);
    void apply(core::configuration const& config, core::revision revision);
    bool is_draining() const noexcept;
    void record(core::attempt_id const& id,
                std::string action,
                core::result_code code);
    void publish_counters();

    telemetry::logger m_log{"sidecar"};
    sidecar_settings m_settings;
    shared::control_link& m_control;
    telemetry::decision_log m_decisions;
    core::backend_entry m_entry;
    admission::admission_controller m_admission;
    /// The calls that wait for an attempt's answer: the attempt's own call and
    /// those of its duplicates.
    std::map<core::attempt_id, std::vector<transport::responder>> m_responders;
    std::map<core::attempt_id, transport::responder> m_cancel_responders;
    std::map<core::attempt_id, core::time_point> m_arrived_at;
    bool m_operator_drain = false;
    bool m_shutdown_drain = false;
    bool m_announcing = false;
    /// Cleared on the io thread; the destructor waits until it is false.
    std::atomic<bool> m_announce_in_flight = false;
    core::time_point m_next_announce;
    core::duration m_announce_interval = std::chrono::seconds(2);
    std::atomic<bool> m_registered = false;
    std::atomic<std::size_t> m_running = 0;
    std::atomic<std::size_t> m_waiting = 0;
    std::atomic<std::uint64_t> m_revision = 0;
    std::atomic<bool> m_draining = false;
    /// Guards `m_counters`.
    std::mutex m_counters_mutex;
    /// Copy of the admission controller's counters for other threads.
    admission::admission_counters m_counters;
    telemetry::latency_metric& m_latency;
    std::map<core::attempt_id, core::time_point> m_started_at;
    process::event_loop m_loop;
    /// Declared last and thus destroyed first: its threads post to `m_loop`.
    backend_client m_backend;
};

} // namespace turmericswitch::sidecar

#endif
