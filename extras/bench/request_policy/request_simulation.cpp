#include "request_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::bench
{

namespace
{

constexpr std::size_t backend_count = 10;
constexpr std::size_t gateway_count = 3;
constexpr std::size_t slow_backend = 4;
constexpr double slow_factor = 3;
constexpr std::size_t faulty_backend = 2;
constexpr core::duration stall_period = std::chrono::seconds(5);
constexpr core::duration stall_length = std::chrono::seconds(1);
constexpr core::duration partition_begin = std::chrono::seconds(10);
constexpr core::duration partition_end = std::chrono::seconds(20);
// Lognormal service time: median 20 ms, p99 about 130 ms.
constexpr double median_service_us = 20'000;
constexpr double service_time_sigma = 0.8;
constexpr std::size_t request_body_bytes = 2'000;
constexpr std::size_t answer_body_bytes = 20'000;
// Zones "a" and "b" are in one region. With two regions, "c" is in the other.
constexpr std::size_t zone_of_backend[backend_count] = {
    0, 0, 0, 0, 1, 1, 1, 2, 2, 2};
constexpr char const* zone_names[] = {"a", "b", "c"};

admission::admission_limits const limits{8, 60, 8};

core::location location_of_zone(std::size_t zone, bool two_regions)
{
    bool const west = two_regions && zone == 2;
    return {core::zone_id(zone_names[zone]),
            core::region_id(west ? "west" : "east")};
}

double mean_service_us()
{
    return median_service_us *
           std::exp(service_time_sigma * service_time_sigma / 2);
}

} // namespace

std::int64_t simulation_result::quantile(double fraction)
{
    if (latencies.empty())
    {
        return 0;
    }
    auto const position = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(latencies.size() - 1));
    std::nth_element(
        latencies.begin(), latencies.begin() + position, latencies.end());
    return latencies[static_cast<std::size_t>(position)];
}

double simulation_result::goodput() const
{
    return static_cast<double>(latencies.size()) /
           static_cast<double>(requests);
}

double simulation_result::amplification() const
{
    return static_cast<double>(attempts) / static_cast<double>(requests);
}

void simulation_result::add_unanswered(core::duration latency)
{
    latencies.resize(requests, latency.count());
}

request_simulation::request_simulation(simulation_options options)
    : m_options(std::move(options)),
      m_random(core::seeded_random(m_options.seed)),
      m_end(m_now + m_options.duration),
      m_gateways(gateway_count)
{
    for (std::size_t i = 0; i < backend_count; ++i)
    {
        m_sidecars.emplace_back(core::incarnation(i + 1), limits);
        m_sidecars[i].configure(m_now, m_revision, limits, false);
    }
    configure_gateways();
}

void request_simulation::configure_gateways()
{
    for (std::size_t zone = 0; zone < std::size(zone_names); ++zone)
    {
        auto const at = location_of_zone(zone, m_options.two_regions);
        m_config.zones.push_back({at.zone, at.region, {}});
    }
    core::service_rule rule;
    rule.service = core::service_id("book");
    rule.retry_percent = m_options.retry_percent;
    m_config.services.push_back(rule);
    m_config.routes.push_back({"/", rule.service, {"GET"}});
    for (std::size_t i = 0; i < gateway_count; ++i)
    {
        auto& gateway = m_gateways[i];
        gateway.zone = i;
        auto const visible_zone = m_options.locality ? i : 0;
        gateway.context =
            std::make_unique<routing::flow_context>(routing::flow_context{
                location_of_zone(visible_zone, m_options.two_regions),
                [&gateway] { return gateway.table; },
                routing::backend_selector(m_options.policy),
                core::seeded_random(m_random()),
                m_options.flow,
                &m_counters});
    }
    update_tables();
}

core::watch_answer request_simulation::watch_answer() const
{
    core::watch_answer answer;
    answer.current = m_revision;
    answer.config = m_config;
    answer.registry = {core::term(1),
                       core::sequence_number(m_revision.value())};
    answer.whole_registry = true;
    for (std::size_t i = 0; i < backend_count; ++i)
    {
        core::backend_entry entry;
        entry.backend = core::backend_id("backend" + std::to_string(i));
        entry.sidecar.port = static_cast<std::uint16_t>(i);
        entry.sidecar_incarnation = core::incarnation(i + 1);
        entry.place = location_of_zone(
            m_options.locality ? zone_of_backend[i] : 0, m_options.two_regions);
        entry.service = core::service_id("book");
        entry.slots = limits.slots;
        entry.connections = limits.connections;
        entry.draining = m_draining_backend == i;
        answer.changed.push_back(entry);
    }
    return answer;
}

void request_simulation::update_tables()
{
    for (auto& gateway : m_gateways)
    {
        gateway.table = routing::build_next_table(
            gateway.table.get(), watch_answer(), m_now);
    }
}

void request_simulation::take_zone_out()
{
    m_revision = core::revision(m_revision.value() + 1);
    m_config.zones[1].state = core::zone_state::out_of_service;
    for (std::size_t i = 0; i < backend_count; ++i)
    {
        execute(i,
                m_sidecars[i].configure(
                    m_now, m_revision, limits, zone_of_backend[i] == 1));
    }
    schedule(m_options.table_propagation_delay, [this] { update_tables(); });
}

void request_simulation::start_drain()
{
    m_draining_backend = 0;
    execute(0, m_sidecars[0].drain(m_now, true));
    schedule(m_options.table_propagation_delay, [this] { update_tables(); });
}

simulation_result request_simulation::run()
{
    if (m_options.zone_out_at)
    {
        schedule(*m_options.zone_out_at, [this] { take_zone_out(); });
    }
    if (m_options.drain_at)
    {
        schedule(*m_options.drain_at, [this] { start_drain(); });
    }
    schedule({}, [this] { handle_arrival(); });
    while (!m_events.empty())
    {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    m_result.attempts = m_counters.attempts;
    m_result.cancels = m_counters.cancels;
    return std::move(m_result);
}

void request_simulation::schedule(core::duration delay, callback run)
{
    m_events.push({m_now + delay, m_next_event_order++, std::move(run)});
}

void request_simulation::handle_arrival()
{
    if (m_now >= m_end)
    {
        return;
    }
    double const capacity =
        static_cast<double>(limits.slots) *
        (static_cast<double>(backend_count) - 1 + 1 / slow_factor) /
        mean_service_us();
    double const gap = -std::log(1 - uniform()) / (capacity * m_options.load);
    schedule(core::duration(static_cast<std::int64_t>(gap)),
             [this] { handle_arrival(); });

    auto const sequence = ++m_sequence;
    auto const gateway = core::random_below(m_random, gateway_count);
    routing::caller_request content;
    content.id = {core::incarnation(gateway + 1),
                  core::sequence_number(sequence)};
    content.content.method = "GET";
    content.content.target = "/";
    content.content.body = std::string(request_body_bytes, 'x');
    auto& added = m_requests[sequence];
    added.flow = std::make_unique<routing::request_flow>(
        *m_gateways[gateway].context, std::move(content));
    added.gateway = gateway;
    added.started_at = m_now;
    ++m_result.requests;
    execute(sequence, added.flow->begin(m_now));
}

void request_simulation::with_flow(
    std::uint64_t sequence,
    std::function<routing::flow_actions(routing::request_flow&)> const& call)
{
    if (auto const found = m_requests.find(sequence); found != m_requests.end())
    {
        execute(sequence, call(*found->second.flow));
    }
}

void request_simulation::execute(std::uint64_t sequence,
                                 routing::flow_actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* sent = std::get_if<routing::send_attempt>(&action))
        {
            send(sequence, *sent);
        }
        else if (auto const* cancel =
                     std::get_if<routing::send_cancel>(&action))
        {
            send(sequence, *cancel);
        }
        else if (auto const* until = std::get_if<routing::set_timer>(&action))
        {
            schedule(until->until - m_now,
                     [this, sequence] {
                         with_flow(sequence,
                                   [this](auto& flow)
                                   { return flow.timer(m_now); });
                     });
        }
        else if (auto const* done =
                     std::get_if<routing::finish_request>(&action))
        {
            if (done->outcome == core::attempt_outcome::ran)
            {
                m_result.latencies.push_back(
                    (m_now - m_requests[sequence].started_at).count());
            }
            m_requests.erase(sequence);
        }
    }
}

void request_simulation::send(std::uint64_t sequence,
                              routing::send_attempt const& action)
{
    auto const backend = action.sidecar.port;
    auto const zone = m_gateways[m_requests[sequence].gateway].zone;
    bool const is_cross_region =
        location_of_zone(zone, m_options.two_regions).region !=
        location_of_zone(zone_of_backend[backend], m_options.two_regions)
            .region;
    m_result.cross_region_bytes += is_cross_region ? request_body_bytes : 0;
    if (is_unreachable(backend))
    {
        return;
    }
    schedule(network_delay(zone, zone_of_backend[backend]),
             [this, backend, request = action.request] {
                 execute(backend, m_sidecars[backend].attempt(m_now, request));
             });
}

void request_simulation::send(std::uint64_t sequence,
                              routing::send_cancel const& action)
{
    auto const backend = action.sidecar.port;
    auto const zone = m_gateways[m_requests[sequence].gateway].zone;
    if (is_unreachable(backend))
    {
        return;
    }
    schedule(network_delay(zone, zone_of_backend[backend]),
             [this, backend, request = action.request]
             { execute(backend, m_sidecars[backend].cancel(m_now, request)); });
}

void request_simulation::execute(std::size_t backend,
                                 admission::admission_actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* begin = std::get_if<admission::start>(&action))
        {
            serve(backend, begin->request);
        }
        else if (auto const* given = std::get_if<admission::answer>(&action))
        {
            reply(backend, given->content);
        }
        else if (auto const* refused = std::get_if<admission::refuse>(&action))
        {
            auto const code = refused->content.code;
            bool const route = code == core::result_code::zone_out ||
                               code == core::result_code::draining;
            m_result.route_refusals += route ? 1 : 0;
            reply(backend, refused->content);
        }
    }
}

void request_simulation::serve(std::size_t backend,
                               core::attempt_request const& attempt)
{
    bool const fails = uniform() < m_options.failure_rate;
    ++m_result.executions;
    schedule(completion_time(backend, service_time(backend)) - m_now,
             [this, backend, id = attempt.id, fails]
             {
                 auto& sidecar = m_sidecars[backend];
                 core::answer_content content;
                 content.status = 200;
                 content.body = std::string(answer_body_bytes, 'x');
                 execute(backend,
                         fails ? sidecar.backend_failed(m_now, id, true)
                               : sidecar.backend_answered(m_now, id, content));
             });
}

void request_simulation::reply(std::size_t backend,
                               core::attempt_answer const& answer)
{
    auto const zone = answer.id.request.gateway.value() - 1;
    bool const is_cross_region =
        location_of_zone(zone, m_options.two_regions).region !=
        location_of_zone(zone_of_backend[backend], m_options.two_regions)
            .region;
    m_result.cross_region_bytes += is_cross_region ? answer.body_size : 0;
    if (is_unreachable(backend))
    {
        return;
    }
    schedule(network_delay(zone, zone_of_backend[backend]),
             [this, answer]
             {
                 with_flow(answer.id.request.sequence.value(),
                           [&](auto& flow)
                           { return flow.attempt_answered(m_now, answer); });
             });
}

core::duration request_simulation::service_time(std::size_t backend)
{
    double const factor = backend == slow_backend ? slow_factor : 1;
    return core::duration(static_cast<std::int64_t>(
        factor * median_service_us * std::exp(service_time_sigma * normal())));
}

core::time_point request_simulation::completion_time(std::size_t backend,
                                                     core::duration work) const
{
    auto at = m_now;
    if (!m_options.stalls || backend != faulty_backend)
    {
        return at + work;
    }
    for (;;)
    {
        auto const phase = (at - m_begin) % stall_period;
        if (phase < stall_length)
        {
            at += stall_length - phase;
            continue;
        }
        if (work <= stall_period - phase)
        {
            return at + work;
        }
        work -= stall_period - phase;
        at += stall_period - phase;
    }
}

bool request_simulation::is_unreachable(std::size_t backend) const
{
    auto const since = m_now - m_begin;
    return m_options.silent_partition && backend == faulty_backend &&
           since >= partition_begin && since < partition_end;
}

core::duration request_simulation::network_delay(std::size_t zone_a,
                                                 std::size_t zone_b) const
{
    if (location_of_zone(zone_a, m_options.two_regions).region !=
        location_of_zone(zone_b, m_options.two_regions).region)
    {
        return std::chrono::milliseconds(12);
    }
    return core::duration(zone_a == zone_b ? 100 : 500);
}

double request_simulation::uniform()
{
    return core::random_unit(m_random);
}

double request_simulation::normal()
{
    // Box-Muller transform.
    double const radius = std::sqrt(-2 * std::log(1 - uniform()));
    return radius * std::cos(2 * M_PI * uniform());
}

} // namespace turmericswitch::bench
