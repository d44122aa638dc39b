#include "control_scale/worker_fleet.hpp"

#include "control_scale/job_stream.hpp"
#include "process/loop/event_loop.hpp"
#include "wire/json/worker_json.hpp"

#include <algorithm>
#include <chrono>
#include <queue>

namespace turmericswitch::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t workers_per_thread = 14;
constexpr std::size_t workers_per_rack = 3;
constexpr core::duration retry_delay = 200ms;
/// The first heartbeats are evenly distributed over this time.
constexpr core::duration start_spread = 400ms;
/// Shorter than the server's idle timeout of 5 s and longer than the heartbeat
/// interval.
constexpr core::duration worker_idle_timeout = 3s;

core::worker_description describe(std::size_t number)
{
    core::worker_description worker;
    worker.worker = core::worker_id("worker-" + std::to_string(number));
    worker.life = core::incarnation(static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count()));
    auto const rack = number / workers_per_rack;
    worker.place.zone = zone_name(rack);
    worker.rack = core::rack_id("rack-" + std::to_string(rack));
    worker.capacity = {core::millicores(32'000),
                       core::byte_count(125LL << 30U),
                       core::accelerator_count(2)};
    return worker;
}

} // namespace

struct worker_fleet::worker
{
    explicit worker(std::size_t number) : core(describe(number), false) {}

    standins::simulated_worker core;
    core::time_point next_heartbeat_at;
    std::size_t heartbeat_count = 0;
    standins::worker_counts reported_counts;
    std::unique_ptr<leader_client> own_client;
};

worker_fleet::worker_fleet(scale_options const& options, leader_client& control)
    : m_options(options), m_control(control)
{
    auto const now = process::event_loop::now();
    for (std::size_t i = 0; i < options.workers; ++i)
    {
        m_workers.push_back(std::make_unique<worker>(i));
        if (options.own_connections)
        {
            web::http_client_options client_options;
            client_options.idle_timeout = worker_idle_timeout;
            m_workers.back()->own_client =
                std::make_unique<leader_client>(options.http, client_options);
        }
        m_workers.back()->next_heartbeat_at =
            now + start_spread * static_cast<std::int64_t>(i) /
                      static_cast<std::int64_t>(options.workers);
    }
    for (std::size_t i = 0; i < m_workers.size(); i += workers_per_thread)
    {
        m_threads.emplace_back([this, i] { run(i); });
    }
}

worker_fleet::~worker_fleet()
{
    m_stopping = true;
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

void worker_fleet::run(std::size_t first)
{
    auto const is_later = [](worker const* a, worker const* b)
    { return a->next_heartbeat_at > b->next_heartbeat_at; };
    std::priority_queue<worker*, std::vector<worker*>, decltype(is_later)>
        queue(is_later);
    auto const end = std::min(first + workers_per_thread, m_workers.size());
    for (std::size_t i = first; i < end; ++i)
    {
        queue.push(m_workers[i].get());
    }
    while (!m_stopping)
    {
        auto* const next = queue.top();
        queue.pop();
        auto const wait = next->next_heartbeat_at - process::event_loop::now();
        std::this_thread::sleep_for(std::max(wait, core::duration::zero()));
        heartbeat_delays.add(process::event_loop::now() -
                             next->next_heartbeat_at);
        auto const pause = send(*next);
        next->next_heartbeat_at = process::event_loop::now() + pause;
        queue.push(next);
    }
}

core::duration worker_fleet::send(worker& sender)
{
    auto const started_at = process::event_loop::now();
    auto heartbeat = sender.core.heartbeat(started_at.time_since_epoch());
    bool const has_usage =
        m_options.heartbeats_per_usage_report > 0 &&
        sender.heartbeat_count++ % m_options.heartbeats_per_usage_report == 0;
    if (!has_usage)
    {
        heartbeat.usage.clear();
    }
    auto const response = (sender.own_client ? *sender.own_client : m_control)
                              .send("POST",
                                    "/v1/workers/heartbeat",
                                    wire::heartbeat_request_to_json(heartbeat),
                                    m_traffic);
    auto const now = process::event_loop::now();
    heartbeat_latencies.add(now - started_at);
    auto const answer = response
                            ? wire::heartbeat_answer_from_json(response->body)
                            : std::nullopt;
    if (!answer || answer->code != core::result_code::ok)
    {
        m_traffic.failed += response ? 1 : 0;
        return retry_delay;
    }
    record_start_latencies(*answer);
    sender.core.handle_answer(now.time_since_epoch(), *answer);
    auto const& counts = sender.core.counts();
    m_starts += counts.starts - sender.reported_counts.starts;
    m_permit_refusals +=
        counts.permit_refusals - sender.reported_counts.permit_refusals;
    m_lease_ends += counts.lease_ends - sender.reported_counts.lease_ends;
    sender.reported_counts = counts;
    // The interval counts from sending this heartbeat, not from its answer.
    return std::max(answer->next_heartbeat - (now - started_at),
                    core::duration::zero());
}

void worker_fleet::record_start_latencies(core::heartbeat_answer const& answer)
{
    auto const now = process::event_loop::now();
    for (auto const& order : answer.starts)
    {
        if (auto const submitted = submission_time(order.payload))
        {
            urgent_start_latencies.add(now - *submitted);
        }
    }
}

role_traffic const& worker_fleet::traffic() const noexcept
{
    return m_traffic;
}

std::uint64_t worker_fleet::starts() const noexcept
{
    return m_starts;
}

std::uint64_t worker_fleet::permit_refusals() const noexcept
{
    return m_permit_refusals;
}

std::uint64_t worker_fleet::lease_ends() const noexcept
{
    return m_lease_ends;
}

} // namespace turmericswitch::bench
