#include "control_scale/change_stream.hpp"

#include "control_scale/job_stream.hpp"
#include "process/loop/event_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace turmericswitch::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t zones = 6;
constexpr std::size_t backends_per_service = 10;
constexpr std::uint16_t ok_status = 200;
constexpr core::duration poll_interval = 2ms;
constexpr core::duration propagation_timeout = 20s;

} // namespace

change_stream::change_stream(scale_options const& options,
                             leader_client& control,
                             rpc_fleet const& fleet)
    : m_options(options), m_control(control), m_fleet(fleet)
{
}

change_stream::~change_stream()
{
    m_stopping = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

std::string change_stream::rules_text(std::uint64_t number) const
{
    std::string const requester = " # asked by Lomos Andrade: capacity run\n";
    std::string text;
    for (std::size_t i = 0; i < zones; ++i)
    {
        text += "zone " + zone_name(i).value() + " region=region-" +
                std::to_string(i / 2) + requester;
    }
    auto const services = m_options.sidecars / backends_per_service + 1;
    for (std::size_t i = 0; i < services; ++i)
    {
        auto const name = "service-" + std::to_string(i);
        text += "service " + name + " slots=8 connections=60" + requester;
        text += "route /" + name + " service=" + name + requester;
    }
    for (std::size_t i = 0; i < m_options.teams; ++i)
    {
        text += "quota team-" + std::to_string(i) +
                " cpu=100000cores memory=1000TiB accelerators=9000" + requester;
    }
    // Differs between revisions.
    text += "limit changing per-worker=" + std::to_string(number % 1000 + 1) +
            requester;
    return text;
}

std::optional<std::uint64_t> change_stream::revision()
{
    auto const response = m_control.send("GET", "/v1/rules", {}, traffic);
    if (!response || response->status != ok_status)
    {
        return std::nullopt;
    }
    return nlohmann::json::parse(response->body)
        .at("revision")
        .get<std::uint64_t>();
}

bool change_stream::apply(std::uint64_t number)
{
    auto const body = nlohmann::json{{"author", "lomos"},
                                     {"replaces", m_revision},
                                     {"text", rules_text(number)}}
                          .dump();
    auto const response = m_control.send("POST", "/v1/rules", body, traffic);
    if (!response || response->status != ok_status)
    {
        std::fprintf(stderr,
                     "configuration change not accepted: %s\n",
                     response ? response->body.c_str() : "no answer");
        return false;
    }
    m_revision = nlohmann::json::parse(response->body)
                     .at("revision")
                     .get<std::uint64_t>();
    return true;
}

bool change_stream::prepare()
{
    auto const current = revision();
    if (!current)
    {
        return false;
    }
    m_revision = *current;
    return apply(m_revision);
}

void change_stream::start()
{
    if (m_options.changes_per_second > 0)
    {
        m_thread = std::thread([this] { run(); });
    }
}

void change_stream::run()
{
    auto const pause = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1 / m_options.changes_per_second));
    auto due = process::event_loop::now();
    while (!m_stopping)
    {
        auto const started_at = process::event_loop::now();
        auto const previous_revision = m_revision;
        if (apply(previous_revision + 1) && m_revision > previous_revision)
        {
            auto const accepted = process::event_loop::now();
            commit_latencies.add(accepted - started_at);
            auto now = accepted;
            while (m_fleet.count_in_force(core::revision(m_revision)) <
                       m_fleet.size() &&
                   now - accepted < propagation_timeout)
            {
                std::this_thread::sleep_for(poll_interval);
                now = process::event_loop::now();
            }
            propagation_latencies.add(now - accepted);
        }
        due += pause;
        auto const wait = due - process::event_loop::now();
        std::this_thread::sleep_for(std::max(wait, core::duration::zero()));
    }
}

} // namespace turmericswitch::bench
