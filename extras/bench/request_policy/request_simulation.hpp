#ifndef TURMERICSWITCH_EXTRAS_BENCH_REQUEST_SIMULATION_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_REQUEST_SIMULATION_HPP

#include "admission/admission.hpp"
#include "routing/routing.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>

namespace turmericswitch::bench
{

/// Settings of one simulation run.
struct simulation_options
{
    std::uint64_t seed = 1;
    routing::balancing_policy policy;
    /// Offered load as a fraction of the total capacity of all slots.
    double load = 0.5;
    /// Fraction of attempts that the backend servers fail after their
    /// service time.
    double failure_rate = 0;
    routing::flow_options flow;
    std::uint32_t retry_percent = 10;
    /// False presents all backend servers and gateways to the balancer as
    /// being in one zone, which disables locality-aware selection.
    bool locality = true;
    /// True spreads backend servers and gateways over two regions.
    bool two_regions = false;
    /// Requests arrive for this long; requests in flight then complete.
    core::duration duration = std::chrono::seconds(40);
    /// Takes zone "b" out of service at this time. Sidecars learn of it
    /// immediately, gateways after `table_propagation_delay`.
    std::optional<core::duration> zone_out_at;
    /// Starts draining one backend server at this time, without a
    /// configuration change.
    std::optional<core::duration> drain_at;
    /// Backend server 2 makes no progress in the first second of every five.
    bool stalls = false;
    /// From 10 s to 20 s, messages to and from backend server 2 are dropped
    /// without a transport error.
    bool silent_partition = false;
    /// Time from a change until every gateway has the new route table.
    core::duration table_propagation_delay = std::chrono::seconds(1);
};

struct simulation_result
{
    /// Latencies of requests with the outcome `ran`, in microseconds.
    std::vector<std::int64_t> latencies;
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    /// Attempts refused by sidecars because the backend server is draining or
    /// its availability zone is out of service.
    std::uint64_t route_refusals = 0;
    std::uint64_t cross_region_bytes = 0;

    std::uint64_t hedges = 0;
    std::uint64_t cancels = 0;
    /// Attempts that a backend server started to execute.
    std::uint64_t executions = 0;

    /// @param fraction From 0 to 1.
    /// @return Latency quantile in microseconds, 0 without a sample.
    std::int64_t quantile(double fraction);
    /// Adds a sample of this latency for each request that has none.
    void add_unanswered(core::duration latency);
    /// @return Fraction of requests with the outcome `ran`.
    double goodput() const;
    /// @return Attempts per request.
    double amplification() const;
};

/// Discrete-event simulation of three gateways and ten backend servers with
/// eight slots each, under open-loop load and in virtual time. Routing and
/// admission decisions come from the production modules. One backend server is
/// three times slower than the others.
class request_simulation
{
public:
    explicit request_simulation(simulation_options options);

    simulation_result run();

private:
    using callback = std::function<void()>;
    struct timed_event
    {
        core::time_point at;
        std::uint64_t order;
        callback run;
        bool operator<(timed_event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct gateway_node
    {
        std::size_t zone = 0;
        std::shared_ptr<routing::route_table const> table;
        std::unique_ptr<routing::flow_context> context;
    };
    struct request
    {
        std::unique_ptr<routing::request_flow> flow;
        std::size_t gateway = 0;
        core::time_point started_at;
    };

    void schedule(core::duration delay, callback run);
    void configure_gateways();
    core::watch_answer watch_answer() const;
    void take_zone_out();
    void start_drain();
    void update_tables();
    void handle_arrival();
    void execute(std::uint64_t sequence, routing::flow_actions const& actions);
    void send(std::uint64_t sequence, routing::send_attempt const& action);
    void execute(std::size_t backend,
                 admission::admission_actions const& actions);
    void serve(std::size_t backend, core::attempt_request const& attempt);
    void send(std::uint64_t sequence, routing::send_cancel const& action);
    void reply(std::size_t backend, core::attempt_answer const& answer);
    /// Calls `call` with the flow of a request that is still in progress and
    /// executes the actions that it returns.
    void with_flow(
        std::uint64_t sequence,
        std::function<routing::flow_actions(routing::request_flow&)> const&
            call);
    core::duration service_time(std::size_t backend);
    /// @return When work that begins now ends, including stalls of the
    /// backend server.
    core::time_point completion_time(std::size_t backend,
                                     core::duration work) const;
    bool is_unreachable(std::size_t backend) const;
    core::duration network_delay(std::size_t zone_a, std::size_t zone_b) const;
    double uniform();
    double normal();

    simulation_options m_options;
    core::random_source m_random;
    core::time_point const m_begin{std::chrono::seconds(1)};
    core::time_point m_now = m_begin;
    core::time_point m_end;
    std::uint64_t m_next_event_order = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<timed_event> m_events;
    core::configuration m_config;
    core::revision m_revision{1};
    std::optional<std::size_t> m_draining_backend;
    std::vector<gateway_node> m_gateways;
    std::vector<admission::admission_controller> m_sidecars;
    std::unordered_map<std::uint64_t, request> m_requests;
    routing::flow_counters m_counters;
    simulation_result m_result;
};

} // namespace turmericswitch::bench

#endif
