#include "sidecar/service/sidecar_service.hpp"

#include "core/results/last_reason.hpp"
#include "naming/table/name_table.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace turmericswitch::sidecar
{

namespace
{

/// Bounds how late a waiting attempt is shed.
constexpr core::duration tick_interval = std::chrono::milliseconds(10);
constexpr core::duration announce_timeout = std::chrono::seconds(2);
constexpr core::duration announce_retry = std::chrono::milliseconds(300);
/// A lease is renewed three times before it ends.
constexpr int announces_per_lease = 3;
constexpr std::size_t kept_decisions = 2'000;

struct counter_name
{
    char const* name;
    char const* help;
    std::uint64_t admission::admission_counters::*value;
};

constexpr counter_name counter_names[] = {
    {"started",
     "Attempts sent to the backend server.",
     &admission::admission_counters::started},
    {"answered",
     "Whole answers of the backend server.",
     &admission::admission_counters::answered},
    {"failed",
     "Calls that the backend server failed.",
     &admission::admission_counters::failed},
    {"refused",
     "Attempts refused before they ran.",
     &admission::admission_counters::refused},
    {"shed",
     "Attempts dropped from the queue at their deadline.",
     &admission::admission_counters::shed},
    {"cancelled",
     "Attempts cancelled before they ran.",
     &admission::admission_counters::cancelled},
    {"duplicates",
     "Copies of attempts, which were not run.",
     &admission::admission_counters::duplicates},
    {"forgotten",
     "Attempts too old to know whether they ran.",
     &admission::admission_counters::forgotten}};

admission::admission_limits limits_of(sidecar_settings const& settings)
{
    admission::admission_limits limits;
    limits.slots = static_cast<std::uint32_t>(settings.slots);
    limits.connections = static_cast<std::uint32_t>(settings.connections);
    return limits;
}

std::string name_of(core::attempt_id const& id)
{
    return "request " + std::to_string(id.request.gateway.value()) + "." +
           std::to_string(id.request.sequence.value());
}

} // namespace

sidecar_service::sidecar_service(sidecar_settings const& settings,
                                 shared::control_link& control,
                                 telemetry::metrics_registry& metrics,
                                 core::incarnation life)
    : m_settings(settings),
      m_control(control),
      m_decisions(kept_decisions),
      m_admission(life, limits_of(settings)),
      m_latency(metrics.latency("turmericswitch_sidecar_service_seconds",
                                "Time of an attempt in a slot.")),
      m_loop(tick_interval),
      m_backend(settings.server, static_cast<std::size_t>(settings.slots))
{
    m_entry.backend = settings.backend;
    m_entry.sidecar_incarnation = life;
    m_entry.place.zone = settings.zone;
    m_entry.service = settings.service;
    m_entry.slots = static_cast<std::uint32_t>(settings.slots);
    m_entry.connections = static_cast<std::uint32_t>(settings.connections);
    add_metrics(metrics);
}

void sidecar_service::add_metrics(telemetry::metrics_registry& metrics)
{
    for (auto const& [name, help, value] : counter_names)
    {
        metrics.add_counter_hook(
            "turmericswitch_sidecar_" + std::string(name) + "_total",
            help,
            [this, value = value]
            {
                std::lock_guard const lock(m_counts_mutex);
                return static_cast<double>(m_counts.*value);
            });
    }
    auto const gauge =
        [&metrics](char const* name, char const* help, auto const& read)
    {
        metrics.add_gauge_hook("turmericswitch_sidecar_" + std::string(name),
                               help,
                               [read] { return static_cast<double>(read()); });
    };
    gauge("running",
          "Attempts running at the backend server.",
          [this] { return m_running.load(); });
    gauge("waiting",
          "Attempts waiting for a slot.",
          [this] { return m_waiting.load(); });
    gauge("in_use",
          "Attempts running or waiting.",
          [this] { return m_running.load() + m_waiting.load(); });
    gauge("draining",
          "1 while draining.",
          [this] { return m_draining.load() ? 1 : 0; });
    gauge("revision",
          "Configuration revision in force here.",
          [this] { return m_revision.load(); });
}

sidecar_service::~sidecar_service()
{
    stop();
    while (m_call_open)
    {
        // Bounded by the timeout of an announce.
        std::this_thread::sleep_for(tick_interval);
    }
}

void sidecar_service::start(core::endpoint const& reachable_at)
{
    m_entry.sidecar = reachable_at;
    m_loop.start([this] { on_tick(); });
}

void sidecar_service::stop()
{
    m_loop.stop();
}

void sidecar_service::on_tick()
{
    auto const now = process::event_loop::now();
    perform(m_admission.timer(now));
    if (now >= m_next_announce && !m_announcing)
    {
        announce();
    }
    publish_counts();
}

void sidecar_service::publish_counts()
{
    m_running = m_admission.running();
    m_waiting = m_admission.waiting();
    m_draining = m_admission.draining();
    std::lock_guard const lock(m_counts_mutex);
    m_counts = m_admission.counters();
}

void sidecar_service::handle(transport::rpc_request const& request,
                             transport::responder answer)
{
    if (request.path == "/attempt")
    {
        if (auto read = wire::decode<core::attempt_request>(request.body))
        {
            m_loop.post(
                [this, read = std::move(*read), answer = std::move(answer)]
                { attempt(read, answer); });
            return;
        }
    }
    else if (request.path == "/cancel")
    {
        if (auto const read = wire::decode<core::cancel_request>(request.body))
        {
            m_loop.post([this, read = *read, answer = std::move(answer)]
                        { cancel(read, answer); });
            return;
        }
    }
    else
    {
        answer.refuse(core::result_code::unknown_path,
                      "a sidecar does not serve " + request.path);
        return;
    }
    answer.refuse(core::last_reason().code, core::last_reason().text);
}

void sidecar_service::attempt(core::attempt_request request,
                              transport::responder answer)
{
    auto const id = request.id;
    auto& streams = m_streams[id];
    streams.push_back(std::move(answer));
    auto const now = process::event_loop::now();
    m_arrived.emplace(id, now);
    perform(m_admission.attempt(now, std::move(request)));
    publish_counts();
}

void sidecar_service::cancel(core::cancel_request const& request,
                             transport::responder answer)
{
    m_cancels.insert_or_assign(request.id, std::move(answer));
    perform(m_admission.cancel(process::event_loop::now(), request));
    publish_counts();
}

void sidecar_service::perform(admission::admission_actions actions)
{
    for (auto& action : actions)
    {
        if (auto* const begin = std::get_if<admission::start>(&action))
        {
            start_attempt(std::move(begin->request));
        }
        else if (auto const* const ended =
                     std::get_if<admission::answer>(&action))
        {
            close_streams(ended->content);
        }
        else if (auto const* const refused =
                     std::get_if<admission::refuse>(&action))
        {
            record(refused->content.id, "refuse", refused->content.code);
            close_streams(refused->content);
        }
        else if (auto const* const waits =
                     std::get_if<admission::queue>(&action))
        {
            record(waits->id, "queue", core::result_code::ok);
        }
        else if (auto const* const cancelled =
                     std::get_if<admission::answer_cancel>(&action))
        {
            if (auto node = m_cancels.extract(cancelled->content.id))
            {
                node.mapped().answer(wire::encode(cancelled->content));
            }
        }
    }
}

void sidecar_service::start_attempt(core::attempt_request request)
{
    auto const id = request.id;
    auto const now = process::event_loop::now();
    auto const arrived = m_arrived.find(id);
    auto const waited =
        arrived == m_arrived.end() ? core::duration() : now - arrived->second;
    m_started_at[id] = now;
    record(id, "start", core::result_code::ok);
    m_backend.call(std::move(request.content),
                   request.remaining - waited,
                   [this, id](web::http_result result)
                   {
                       m_loop.post([this, id, result = std::move(result)]
                                   { backend_done(id, result); });
                   });
}

void sidecar_service::backend_done(core::attempt_id const& id,
                                   web::http_result result)
{
    auto const now = process::event_loop::now();
    if (auto const began = m_started_at.extract(id))
    {
        m_latency.add(now - began.mapped());
    }
    if (result.outcome == web::http_outcome::answered)
    {
        perform(
            m_admission.backend_answered(now, id, std::move(result.response)));
    }
    else
    {
        bool const was_sent = result.outcome != web::http_outcome::not_sent;
        m_log.warning(name_of(id) + ": backend server failed: " + result.text);
        perform(m_admission.backend_failed(now, id, was_sent));
    }
    publish_counts();
}

void sidecar_service::close_streams(core::attempt_answer const& content)
{
    m_arrived.erase(content.id);
    auto const streams = m_streams.extract(content.id);
    if (!streams)
    {
        return;
    }
    auto const encoded = wire::encode(content);
    for (auto const& stream : streams.mapped())
    {
        stream.answer(encoded);
    }
}

void sidecar_service::announce()
{
    m_announcing = true;
    m_entry.draining = m_rules_drain || m_stop_drain;
    core::announce_request request;
    request.entry = m_entry;
    request.in_force = m_admission.in_force();
    m_call_open = true;
    m_control.call("/announce",
                   wire::encode(request),
                   announce_timeout,
                   [this](transport::call_result const& result)
                   {
                       m_loop.post([this, result] { announced(result); });
                       // Last, because the destructor waits for it.
                       m_call_open = false;
                   });
}

void sidecar_service::announced(transport::call_result const& result)
{
    m_announcing = false;
    auto const now = process::event_loop::now();
    m_next_announce = now + announce_retry;
    auto const answer = result.outcome == transport::call_outcome::answered
                            ? wire::decode<core::announce_answer>(result.body)
                            : std::nullopt;
    if (!answer)
    {
        return;
    }
    if (answer->code == core::result_code::not_leader)
    {
        m_control.not_leader(answer->leader);
        return;
    }
    if (answer->code != core::result_code::ok)
    {
        m_log.warning("announce refused: " +
                      std::string(core::to_string(answer->code)));
        return;
    }
    m_registered = true;
    m_next_announce = now + answer->lease / announces_per_lease;
    // An answer made before the configuration in force says nothing about it.
    bool const is_current = answer->current >= m_admission.in_force();
    if (is_current && answer->drain != m_rules_drain)
    {
        m_rules_drain = answer->drain;
        m_log.info(m_rules_drain ? "operators drain this backend server"
                                 : "operators end the drain");
        perform(m_admission.drain(now, m_rules_drain || m_stop_drain));
        m_next_announce = now;
    }
}

void sidecar_service::configure(core::watch_answer const& news)
{
    if (news.config)
    {
        m_loop.post([this, config = *news.config, revision = news.current]
                    { apply(config, revision); });
    }
}

void sidecar_service::apply(core::configuration const& config,
                            core::revision revision)
{
    if (revision < m_admission.in_force())
    {
        // Of a deposed leader; a process never goes to a lower revision.
        return;
    }
    auto limits = limits_of(m_settings);
    auto const names = naming::name_table::from_entries(config.names);
    auto const service = names.resolve_or_same(core::name_kind::service,
                                               m_settings.service.value());
    for (auto const& rule : config.services)
    {
        if (rule.service.value() == service)
        {
            limits.slots = std::min(limits.slots, rule.slots_per_backend);
            limits.connections =
                std::min(limits.connections, rule.connections_per_backend);
            limits.queue = rule.queue_per_backend;
        }
    }
    auto const zone =
        names.resolve_or_same(core::name_kind::zone, m_settings.zone.value());
    bool is_out = false;
    for (auto const& rule : config.zones)
    {
        is_out = is_out || (rule.zone.value() == zone &&
                            rule.state == core::zone_state::out_of_service);
    }
    // Rules in force hold canonical names; the settings may have another.
    auto const backend = names.resolve_or_same(core::name_kind::instance,
                                               m_settings.backend.value());
    bool const is_leaving =
        std::any_of(config.leaving.begin(),
                    config.leaving.end(),
                    [&backend](core::leaving_rule const& rule)
                    { return rule.backend.value() == backend; });
    auto const now = process::event_loop::now();
    perform(m_admission.configure(now, revision, limits, is_out));
    if (is_leaving != m_rules_drain)
    {
        m_rules_drain = is_leaving;
        perform(m_admission.drain(now, m_rules_drain || m_stop_drain));
        m_next_announce = now;
    }
    m_revision = m_admission.in_force().value();
    m_log.info("configuration revision " + std::to_string(revision.value()) +
               " is in force");
}

void sidecar_service::drain()
{
    m_loop.post(
        [this]
        {
            m_stop_drain = true;
            auto const now = process::event_loop::now();
            perform(m_admission.drain(now, true));
            publish_counts();
            m_log.info("drain: " + std::to_string(m_admission.running()) +
                       " requests in progress");
            m_next_announce = now;
        });
}

std::size_t sidecar_service::running() const noexcept
{
    return m_running;
}

std::string sidecar_service::readiness() const
{
    return m_registered ? std::string() : "not yet registered with control";
}

void sidecar_service::record(core::attempt_id const& id,
                             std::string action,
                             core::result_code code)
{
    core::decision_record decision;
    decision.part = "sidecar";
    decision.subject = name_of(id);
    decision.action = std::move(action);
    decision.target = "attempt " + std::to_string(id.number.value());
    decision.code = code;
    m_decisions.record(std::move(decision));
}

} // namespace turmericswitch::sidecar
