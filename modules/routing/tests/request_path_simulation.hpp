#ifndef TURMERICSWITCH_ROUTING_TESTS_REQUEST_PATH_SIMULATION_HPP
#define TURMERICSWITCH_ROUTING_TESTS_REQUEST_PATH_SIMULATION_HPP

#include "admission/admission.hpp"
#include "routing/routing.hpp"
#include "support/fake_network.hpp"

#include <string>

namespace turmericswitch::routing
{

enum class step_kind : std::uint8_t
{
    request,
    keyed_request,
    advance,
    restart_sidecar,
    drain,
    toggle_zone,
    update_route_table,
    cut,
    heal,
    restart_gateway,
};

/// One generated step. The meaning of `a` and `b` depends on the kind.
struct simulation_step
{
    step_kind kind = step_kind::advance;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

/// Violated invariants, each with a description of the last violation; empty
/// if it held.
struct violations
{
    /// A non-idempotent request, or the requests of a key, ran twice.
    std::string ran_twice;
    /// A request that ended as `not_run` had run.
    std::string false_not_run;
    /// An answer was truncated or belonged to another request.
    std::string wrong_answer;
    /// More attempts ran than the sidecar has slots.
    std::string slots_exceeded;
    /// An attempt started while its sidecar drained or its zone was out.
    std::string start_after_drain;
    /// A request had no end or several, or `backend_load` still counts an
    /// attempt.
    std::string not_ended;
    /// A request was sent over the region link twice.
    std::string crossed_region_twice;
    /// Two attempts of a non-idempotent request, or three of another, were
    /// open.
    std::string too_many_attempts;
    /// An attempt started after its deadline.
    std::string start_after_deadline;
};

/// Simulates two gateways, three sidecars with backend servers, and control's
/// table of claimed keys, over a fake network in virtual time. Zones "a" and
/// "b" are in one region, "c" in another.
class request_path_simulation
{
public:
    /// @param with_faults False for a network and backend servers without
    /// faults.
    explicit request_path_simulation(std::uint64_t seed,
                                     bool with_faults = true);

    void run(simulation_step const& step);

    /// Heals the network, lets every request end and checks the invariants.
    violations const& finish_and_check();

    /// @return Number of requests that ended with an answer.
    std::size_t answered() const noexcept
    {
        return m_answered;
    }

    flow_counters const& counters() const noexcept
    {
        return m_counters;
    }

private:
    struct claim_reply
    {
        core::request_id request;
        core::result_code code = core::result_code::ok;
    };
    struct attempt_lost
    {
        core::attempt_id id;
    };
    struct attempt_not_sent
    {
        core::attempt_id id;
    };
    struct flow_timer
    {
        core::request_id id;
    };
    struct sidecar_timer
    {
    };
    struct backend_done
    {
        core::attempt_id id;
        core::request_content content;
        bool answered = true;
        bool sent = true;
    };
    using message = std::variant<core::attempt_request,
                                 core::attempt_answer,
                                 core::cancel_request,
                                 core::cancel_answer,
                                 core::claim_key,
                                 core::finish_claim,
                                 claim_reply,
                                 attempt_lost,
                                 attempt_not_sent,
                                 flow_timer,
                                 sidecar_timer,
                                 backend_done>;
    using network = testing::fake_network<message>;

    struct gateway_node
    {
        core::incarnation incarnation;
        std::shared_ptr<route_table const> table;
        std::unique_ptr<flow_context> context;
        std::map<core::request_id, std::unique_ptr<request_flow>> flows;
    };
    struct sidecar_node
    {
        std::unique_ptr<admission::admission_controller> core;
        core::incarnation incarnation;
        bool draining = false;
        std::size_t executing = 0;
    };
    struct claim_state
    {
        core::request_id owner;
        bool finished = false;
    };
    /// What was observed of one request.
    struct observed_request
    {
        std::string body;
        std::string key;
        bool idempotent = false;
        int runs = 0;
        int ends = 0;
        int crossings = 0;
        /// Attempts that were sent and whose end the gateway doesn't know yet.
        std::set<core::attempt_id> open;
        bool gateway_restarted = false;
        bool refused_as_not_run = false;
    };

    bool roll_fault(std::uint32_t percent);
    void advance(core::time_point until);
    void deliver(network::delivery const& delivery);
    /// Records that the gateway learned of the end of an attempt.
    void record_attempt_end(message const& content);
    void deliver_to_gateway(std::size_t index, message const& content);
    void deliver_to_sidecar(std::size_t index, message const& content);
    void deliver_to_control(std::uint32_t from, message const& content);
    void submit(std::size_t gateway, bool idempotent, std::string const& key);
    void perform(std::size_t gateway,
                 core::request_id const& id,
                 flow_actions const& actions);
    void perform_send(std::size_t gateway, send_attempt const& action);
    void perform_finish(core::request_id const& id,
                        finish_request const& action);
    void perform(std::size_t sidecar,
                 admission::admission_actions const& actions);
    void start(std::size_t sidecar, core::attempt_request const& request);
    void restart_gateway(std::size_t index);
    void restart_sidecar(std::size_t index);
    void set_drain(std::size_t index, bool draining);
    void toggle_zone(std::size_t index);
    void configure_sidecar(std::size_t index);
    void update_route_table(std::size_t index);
    bool zone_is_out(std::size_t index) const;
    std::uint32_t gateway_of(core::request_id const& id) const;
    core::backend_entry entry_of(std::size_t index) const;
    void check_end_state();

    bool m_with_faults;
    core::time_point m_now{std::chrono::seconds(1)};
    core::random_source m_random;
    network m_network;
    core::configuration m_config;
    core::revision m_revision{1};
    core::sequence_number m_version{1};
    std::uint64_t m_next_incarnation = 1;
    std::uint64_t m_next_sequence = 1;
    std::vector<gateway_node> m_gateways;
    std::vector<sidecar_node> m_sidecars;
    std::map<std::string, claim_state> m_claims;
    std::map<core::request_id, observed_request> m_observed;
    /// Deadline of each attempt on the sidecar's clock, which starts when the
    /// attempt arrives.
    std::map<core::attempt_id, core::time_point> m_attempt_deadlines;
    flow_counters m_counters;
    violations m_violations;
    std::size_t m_answered = 0;
};

} // namespace turmericswitch::routing

#endif
