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

/// The shell of the admission core: gateways' calls in, requests to the
/// backend server out, announces to control.
class sidecar_service
{
public:
    /// @param control Must outlive the service.
    sidecar_service(sidecar_settings const& settings,
                    shared::control_link& control,
                    telemetry::metrics_registry& metrics,
                    core::incarnation life);
    /// Waits for an open announce.
    ~sidecar_service();

    sidecar_service(sidecar_service const&) = delete;
    sidecar_service& operator=(sidecar_service const&) = delete;

    /// Starts the loop and announces the backend server.
    ///
    /// @param reachable_at Where gateways reach this sidecar.
    void start(core::endpoint const& reachable_at);

    /// Handles one call; runs on an io thread.
    void handle(transport::rpc_request const& request,
                transport::responder answer);

    /// Takes a configuration; for `shared::config_watch`.
    void configure(core::watch_answer const& news);

    /// Refuses new attempts and tells control. Running ones finish.
    void drain();

    /// @return Attempts that are running, from any thread.
    std::size_t running() const noexcept;

    /// Ends the loop.
    void stop();

    /// @return Empty when control knows the backend server.
    std::string readiness() const;

private:
    void add_metrics(telemetry::metrics_registry& metrics);
    void on_tick();
    void attempt(core::attempt_request request, transport::responder answer);
    void cancel(core::cancel_request const& request,
                transport::responder answer);
    void perform(admission::admission_actions actions);
    void start_attempt(core::attempt_request request);
    void backend_done(core::attempt_id const& id, web::http_result result);
    void close_streams(core::attempt_answer const& content);
    void announce();
    void announced(transport::call_result const& result);
    void apply(core::configuration const& config, core::revision revision);
    void record(core::attempt_id const& id,
                std::string action,
                core::result_code code);
    void publish_counts();

    telemetry::logger m_log{"sidecar"};
    sidecar_settings m_settings;
    shared::control_link& m_control;
    telemetry::decision_log m_decisions;
    core::backend_entry m_entry;
    admission::admission_controller m_admission;
    /// Streams that wait for the answer of an attempt.
    std::map<core::attempt_id, std::vector<transport::responder>> m_streams;
    std::map<core::attempt_id, transport::responder> m_cancels;
    std::map<core::attempt_id, core::time_point> m_arrived;
    bool m_rules_drain = false;
    bool m_stop_drain = false;
    bool m_announcing = false;
    std::atomic<bool> m_call_open = false;
    core::time_point m_next_announce;
    core::duration m_announce_interval = std::chrono::seconds(2);
    std::atomic<bool> m_registered = false;
    std::atomic<std::size_t> m_running = 0;
    std::atomic<std::size_t> m_waiting = 0;
    std::atomic<std::uint64_t> m_revision = 0;
    std::atomic<bool> m_draining = false;
    /// Copy of the admission's counts for other threads.
    std::mutex m_counts_mutex;
    admission::admission_counters m_counts;
    telemetry::latency_metric& m_latency;
    std::map<core::attempt_id, core::time_point> m_started_at;
    process::event_loop m_loop;
    /// Last member: its threads post to the loop until they end.
    backend_client m_backend;
};

} // namespace turmericswitch::sidecar

#endif
