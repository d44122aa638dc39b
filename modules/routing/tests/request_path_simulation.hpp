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
    zone,
    sync_gateway,
    cut,
    heal,
    restart_gateway,
};

/// One generated step; the meaning of the numbers depends on the kind.
struct simulation_step
{
    step_kind kind = step_kind::advance;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

/// What the oracle found wrong, by the promise that was broken.
struct violations
{
    std::string at_most_once;
    std::string truthful_refusal;
    std::string whole_answers;
    std::string slots;
    std::string start_after_drain;
    std::string not_ended;
    std::string region_twice;
    std::string too_many_attempts;
    std::string late_start;
};

/// Two gateways, three sidecars with backend servers and a fake of
/// control's claims, all as cores over one fake network. Zones "a" and "b"
/// are in one region, "c" in another.
class request_path_simulation
{
public:
    /// @param faulty False for a network and backend servers without faults.
    explicit request_path_simulation(std::uint64_t seed, bool faulty = true);

    void run(simulation_step const& step);

    /// Heals everything, lets every request end and checks the oracle.
    violations const& settle();

    /// @return Number of requests that ended with a whole answer.
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
    struct attempt_is_lost
    {
        core::attempt_id id;
    };
    struct attempt_is_not_sent
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
                                 attempt_is_lost,
                                 attempt_is_not_sent,
                                 flow_timer,
                                 sidecar_timer,
                                 backend_done>;
    using network = testing::fake_network<message>;

    struct gateway_node
    {
        core::incarnation life;
        std::shared_ptr<route_table const> table;
        std::unique_ptr<flow_context> context;
        std::map<core::request_id, std::unique_ptr<request_flow>> flows;
    };
    struct sidecar_node
    {
        std::unique_ptr<admission::admission_controller> core;
        core::incarnation life;
        bool draining = false;
        std::size_t executing = 0;
    };
    struct claim_state
    {
        core::request_id owner;
        bool finished = false;
    };
    /// What the oracle knows about one request.
    struct request_facts
    {
        std::string body;
        std::string key;
        bool idempotent = false;
        int runs = 0;
        int ends = 0;
        int crossings = 0;
        /// Attempts sent, and those whose end the gateway was told of.
        std::set<core::attempt_id> open;
        bool gateway_died = false;
        bool refused_as_not_run = false;
    };

    bool fault(std::uint32_t percent);
    void advance(core::time_point until);
    void deliver(network::delivery const& delivery);
    /// Tells the oracle which attempt the gateway no longer waits for.
    void note_end(message const& content);
    void to_gateway(std::size_t index, message const& content);
    void to_sidecar(std::size_t index, message const& content);
    void to_control(std::uint32_t from, message const& content);
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
    void sync_gateway(std::size_t index);
    bool zone_is_out(std::size_t index) const;
    std::uint32_t gateway_of(core::request_id const& id) const;
    core::backend_entry entry_of(std::size_t index) const;
    void check_end_state();

    bool m_faulty;
    core::time_point m_now{std::chrono::seconds(1)};
    core::random_source m_random;
    network m_network;
    core::configuration m_config;
    core::revision m_revision{1};
    core::sequence_number m_version{1};
    std::uint64_t m_next_life = 1;
    std::uint64_t m_next_sequence = 1;
    std::vector<gateway_node> m_gateways;
    std::vector<sidecar_node> m_sidecars;
    std::map<std::string, claim_state> m_claims;
    std::map<core::request_id, request_facts> m_facts;
    /// Latest start of each attempt by the sidecar's own time.
    std::map<core::attempt_id, core::time_point> m_start_by;
    flow_counters m_counters;
    violations m_violations;
    std::size_t m_answered = 0;
};

} // namespace turmericswitch::routing

#endif
