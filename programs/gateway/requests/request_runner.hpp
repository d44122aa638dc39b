#ifndef TURMERICSWITCH_GATEWAY_REQUESTS_REQUEST_RUNNER_HPP
#define TURMERICSWITCH_GATEWAY_REQUESTS_REQUEST_RUNNER_HPP

#include "gateway/requests/claim_end_sender.hpp"
#include "gateway/requests/mailbox.hpp"
#include "gateway/routing/route_state.hpp"
#include "shared/control_link/control_link.hpp"
#include "telemetry/telemetry.hpp"
#include "web/web.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <variant>

namespace turmericswitch::gateway
{

/// Metrics of the answers to callers.
struct request_metrics
{
    explicit request_metrics(telemetry::metrics_registry& registry);

    telemetry::counter& answered;
    telemetry::counter& not_run;
    telemetry::counter& outcome_unknown;
    telemetry::counter& dropped_claim_ends;
    telemetry::latency_metric& latency;
};

/// Objects and settings that all request threads share.
struct runner_dependencies
{
    transport::io_pool& io;
    route_state const& routes;
    shared::control_link& control;
    telemetry::decision_log& decisions;
    request_metrics& metrics;
    routing::flow_counters& counters;
    routing::balancing_policy policy;
    std::uint64_t random_seed = 0;
};

/// Serves callers' requests: runs a `routing::request_flow` on the calling
/// thread and performs its actions. Thread-safe.
class request_runner
{
public:
    /// @param dependencies Objects that it refers to must outlive the runner.
    explicit request_runner(runner_dependencies dependencies);
    /// Waits for the calls of open claims and of the ends of claims.
    ~request_runner();

    /// Blocks until the request has its answer.
    web::http_response serve(web::http_request const& request);

private:
    struct attempt_result
    {
        core::attempt_id id;
        transport::call_result result;
    };
    struct cancel_result
    {
        core::attempt_id id;
        transport::call_result result;
    };
    struct claim_result
    {
        core::result_code code = core::result_code::ok;
    };
    using event = std::variant<attempt_result, cancel_result, claim_result>;
    using request_mailbox = mailbox<event>;

    /// Claim of an idempotency key, which is retried until control decides or
    /// the request ends.
    struct claim_call
    {
        core::claim_key command;
        std::string encoded;
        std::shared_ptr<request_mailbox> events;
    };

    /// State that a thread keeps between requests.
    struct thread_state;

    /// State of one request in progress.
    struct run_state
    {
        routing::request_flow& flow;
        std::shared_ptr<request_mailbox> events;
        link_map const& links;
        core::time_point timer_due;
        std::optional<routing::finish_request> result;
    };

    thread_state& this_thread_state();
    routing::finish_request run(routing::request_flow& flow,
                                link_map const& links);
    void perform(run_state& run, routing::flow_actions actions);
    /// @return Null when the gateway has no link to the sidecar.
    std::shared_ptr<transport::rpc_client>
    find_client(run_state const& run, core::endpoint const& sidecar);
    void send(run_state& run, routing::send_attempt const& action);
    void send(run_state& run, routing::send_cancel const& action);
    void send(run_state& run, routing::send_claim const& action);
    claim_end_hooks make_end_hooks();
    /// @return True if control has applied the end of a claim.
    bool is_end_applied(shared::control_result const& result);
    void send_claim(std::shared_ptr<claim_call> const& call);
    void handle_claim_result(std::shared_ptr<claim_call> const& call,
                             shared::control_result const& result);
    /// @return The reply to a command, or nothing. Reports a peer that is not
    /// the leader.
    std::optional<core::command_reply>
    read_reply(shared::control_result const& result);
    /// @return What control has decided on the claim, or nothing if it has to
    /// be repeated.
    std::optional<core::result_code>
    read_claim_decision(shared::control_result const& result);
    routing::flow_actions deliver(run_state& run, event const& arrived);
    web::http_response respond(routing::finish_request result);

    runner_dependencies m_dependencies;
    /// Part of request ids; differs after each restart of the gateway.
    core::incarnation m_incarnation;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<std::uint64_t> m_thread_count = 0;
    std::atomic<std::uint64_t> m_open_claims = 0;
    std::shared_ptr<claim_end_sender> m_claim_ends;
    /// Key of this runner's states in thread-local storage, which all runners
    /// of the process share.
    std::uint64_t m_runner_id;
};

} // namespace turmericswitch::gateway

#endif
