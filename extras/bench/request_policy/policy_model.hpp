#ifndef TURMERICSWITCH_EXTRAS_BENCH_POLICY_MODEL_HPP
#define TURMERICSWITCH_EXTRAS_BENCH_POLICY_MODEL_HPP

#include "admission/admission.hpp"
#include "routing/routing.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>

namespace turmericswitch::bench
{

/// One run of the model.
struct model_options
{
    std::uint64_t seed = 1;
    routing::balancing_policy policy;
    /// Offered work as a share of what all slots can do.
    double load = 0.5;
    /// Share of calls that the backend servers fail after their service time.
    double fail_share = 0;
    routing::flow_options flow;
    std::uint32_t retry_percent = 10;
    /// False shows the gateways one zone, so that they choose without regard
    /// to place.
    bool locality = true;
    /// True spreads backend servers and gateways over two regions.
    bool two_regions = false;
    core::duration length = std::chrono::seconds(40);
    /// Takes zone "b" out at this time; sidecars know at once.
    std::optional<core::duration> zone_out_at;
    /// Starts the drain of one backend server at this time, without a change
    /// of the configuration.
    std::optional<core::duration> drain_at;
    /// Backend server 2 does nothing for the first second of every five.
    bool stalls = false;
    /// From 10 s to 20 s, messages from and to backend server 2 vanish and no
    /// transport reports it.
    bool silent_partition = false;
    /// Until every gateway has the changed table.
    core::duration table_lag = std::chrono::seconds(1);
};

struct model_result
{
    std::vector<std::int64_t> latencies;
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    /// Refusals by sidecars for draining or an availability zone out.
    std::uint64_t route_refusals = 0;
    std::uint64_t region_bytes = 0;

    std::uint64_t hedges = 0;
    std::uint64_t cancels = 0;
    std::uint64_t runs = 0;

    /// @return Latency in microseconds below which this share lies.
    std::int64_t quantile(double share);
    /// Counts requests without an answer as answered after `latency`.
    void add_unanswered(core::duration latency);
    double goodput() const;
    double amplification() const;
};

/// Open-loop queueing model of three gateways and ten backend servers of
/// eight slots around the real decision modules, in virtual time. One
/// backend server is three times slower than the others.
class policy_model
{
public:
    explicit policy_model(model_options options);

    model_result run();

private:
    using event = std::function<void()>;
    struct timed_event
    {
        core::time_point at;
        std::uint64_t order;
        event run;
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
        core::time_point begun;
    };

    void later(core::duration delay, event run);
    void build_tables();
    core::watch_answer watch_answer() const;
    void take_zone_out();
    void start_drain();
    void update_tables();
    void arrive();
    void perform(std::uint64_t sequence, routing::flow_actions const& actions);
    void send(std::uint64_t sequence, routing::send_attempt const& action);
    void perform(std::size_t backend,
                 admission::admission_actions const& actions);
    void serve(std::size_t backend, core::attempt_request const& attempt);
    void send(std::uint64_t sequence, routing::send_cancel const& action);
    void reply(std::size_t backend, core::attempt_answer const& answer);
    void with_flow(
        std::uint64_t sequence,
        std::function<routing::flow_actions(routing::request_flow&)> const&
            call);
    core::duration service_time(std::size_t backend);
    /// @return End of work that begins now, with stalls.
    core::time_point end_of_work(std::size_t backend,
                                 core::duration work) const;
    bool unreachable(std::size_t backend) const;
    core::duration network_time(std::size_t zone_a, std::size_t zone_b) const;
    double uniform();
    double normal();

    model_options m_options;
    core::random_source m_random;
    core::time_point const m_begin{std::chrono::seconds(1)};
    core::time_point m_now = m_begin;
    core::time_point m_end;
    std::uint64_t m_order = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<timed_event> m_events;
    core::configuration m_config;
    core::revision m_revision{1};
    std::optional<std::size_t> m_drained;
    std::vector<gateway_node> m_gateways;
    std::vector<admission::admission_controller> m_sidecars;
    std::unordered_map<std::uint64_t, request> m_requests;
    routing::flow_counters m_counters;
    model_result m_result;
};

} // namespace turmericswitch::bench

#endif
