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

/// Longest delay between the deadline of a waiting attempt and its refusal.
constexpr core::duration tick_interval = std::chrono::milliseconds(10);
constexpr core::duration announce_timeout = std::chrono::seconds(2);
constexpr core::duration announce_retry = std::chrono::milliseconds(300);
/// A lease is renewed three times before it ends.
constexpr int announces_per_lease = 3;
constexpr std::size_t decision_log_capacity = 2'000;

struct counter_metric
{
    char const* name;
    char const* help;
    std::uint64_t admission::admission_counters::*value;
};

constexpr counter_metric counter_metrics[] = {
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

admission::admission_limits
limits_from_settings(sidecar_settings const& settings)
{
    admission::admission_limits limits;
    limits.slots = static_cast<std::uint32_t>(settings.slots);
    limits.connections = static_cast<std::uint32_t>(settings.connections);
    return limits;
}

std::string request_name(core::attempt_id const& id)
{
    return "request " + std::to_string(id.request.gateway.value()) + "." +
           std::to_string(id.request.sequence.value());
}

} // namespace

sidecar_service::sidecar_service(sidecar_settings const& settings,
                                 shared::control_link& control,
                                 telemetry::metrics_registry& metrics,
                                 core::incarnation incarnation)
    : m_settings(settings),
      m_control(control),
      m_decisions(decision_log_capacity),
      m_admission(incarnation, limits_from_settings(settings)),
      m_latency(metrics.latency("turmericswitch_sidecar_service_seconds",
                                "Time of an attempt in a slot.")),
      m_loop(tick_interval),
      m_backend(settings.server, static_cast<std::size_t>(settings.slots))
{
    m_entry.backend = settings.backend;
    m_entry.sidecar_incarnation = incarnation;
    m_entry.place.zone = settings.zone;
    m_entry.service = settings.service;
    m_entry.slots = static_cast<std::uint32_t>(settings.slots);
    m_entry.connections = static_cast<std::uint32_t>(settings.connections);
    add_metrics(metrics);
}

void sidecar_service::add_metrics(telemetry::metrics_registry& metrics)
{
    for (auto const& [name, help, value] : counter_metrics)
    {
        metrics.add_counter_hook(
            "turmericswitch_sidecar_" + std::string(name) + "_total",
            help,
            [this, value = value]
            {
                std::lock_guard const lock(m_counters_mutex);
                return static_cast<double>(m_counters.*value);
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
    while (m_announce_in_flight)
    {
        // At most `announce_timeout`.
        std::this_thread::sleep_for(tick_interval);
    }
}

void sidecar_service::start(core::endpoint const& reachable_at)
{
    m_entry.sidecar = reachable_at;
    m_loop.start([this] { handle_tick(); });
}

void sidecar_service::stop()
{
    m_loop.stop();
}

void sidecar_service::handle_tick()
{
    auto const now = process::event_loop::now();
    perform(m_admission.timer(now));
    if (now >= m_next_announce && !m_announcing)
    {
        announce();
    }
    publish_counters();
}

void sidecar_service::publish_counters()
{
    m_running = m_admission.running();
    m_waiting = m_admission.waiting();
    m_draining = m_admission.draining();
    std::lock_guard const lock(m_counters_mutex);
    m_counters = m_admission.counters();
}

void sidecar_service::handle(transport::rpc_request const& request,
                             transport::responder answer)
{
    if (request.path == "/attempt")
    {
        if (auto decoded = wire::decode<core::attempt_request>(request.body))
        {
            m_loop.post([this,
                         decoded = std::move(*decoded),
                         answer = std::move(answer)]
                        { handle_attempt(decoded, answer); });
            return;
        }
    }
    else if (request.path == "/cancel")
    {
        if (auto const decoded =
                wire::decode<core::cancel_request>(request.body))
        {
            m_loop.post([this, decoded = *decoded, answer = std::move(answer)]
                        { handle_cancel(decoded, answer); });
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

void sidecar_service::handle_attempt(core::attempt_request request,
                                     transport::responder answer)
{
    auto const id = request.id;
    auto& responders = m_responders[id];
    responders.push_back(std::move(answer));
    auto const now = process::event_loop::now();
    m_arrived_at.emplace(id, now);
    perform(m_admission.attempt(now, std::move(request)));
    publish_counters();
}

void sidecar_service::handle_cancel(core::cancel_request const& request,
                                    transport::responder answer)
{
    m_cancel_responders.insert_or_assign(request.id, std::move(answer));
    perform(m_admission.cancel(process::event_loop::now(), request));
    publish_counters();
}

void sidecar_service::perform(admission::admission_actions actions)
{
    for (auto& action : actions)
    {
        if (auto* const started = std::get_if<admission::start>(&action))
        {
            start_attempt(std::move(started->request));
        }
        else if (auto const* const answered =
                     std::get_if<admission::answer>(&action))
        {
            send_answer(answered->content);
        }
        else if (auto const* const refused =
                     std::get_if<admission::refuse>(&action))
        {
            record(refused->content.id, "refuse", refused->content.code);
            send_answer(refused->content);
        }
        else if (auto const* const queued =
                     std::get_if<admission::queue>(&action))
        {
            record(queued->id, "queue", core::result_code::ok);
        }
        else if (auto const* const cancelled =
                     std::get_if<admission::answer_cancel>(&action))
        {
            if (auto node = m_cancel_responders.extract(cancelled->content.id))
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
    auto const arrived = m_arrived_at.find(id);
    auto const waited = arrived == m_arrived_at.end() ? core::duration()
                                                      : now - arrived->second;
    m_started_at[id] = now;
    record(id, "start", core::result_code::ok);
    m_backend.call(std::move(request.content),
                   request.remaining - waited,
                   [this, id](web::http_result result)
                   {
                       m_loop.post([this, id, result = std::move(result)]
                                   { handle_backend_result(id, result); });
                   });
}

void sidecar_service::handle_backend_result(core::attempt_id const& id,
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
        m_log.warning(request_name(id) +
                      ": request to the backend server failed: " + result.text);
        perform(m_admission.backend_failed(now, id, was_sent));
    }
    publish_counters();
}

void sidecar_service::send_answer(core::attempt_answer const& content)
{
    m_arrived_at.erase(content.id);
    auto const responders = m_responders.extract(content.id);
    if (!responders)
    {
        return;
    }
    auto const encoded = wire::encode(content);
    for (auto const& responder : responders.mapped())
    {
        responder.answer(encoded);
    }
}

void sidecar_service::announce()
{
    m_announcing = true;
    m_entry.draining = is_draining();
    core::announce_request request;
    request.entry = m_entry;
    request.in_force = m_admission.in_force();
    m_announce_in_flight = true;
    m_control.call("/announce",
                   wire::encode(request),
                   announce_timeout,
                   [this](shared::control_result const& result)
                   {
                       m_loop.post([this, result]
                                   { handle_announce_result(result); });
                       // Last: the destructor returns once this is false.
                       m_announce_in_flight = false;
                   });
}

void sidecar_service::handle_announce_result(
    shared::control_result const& result)
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
        m_control.not_leader(result, answer->leader);
        return;
    }
    if (answer->code != core::result_code::ok)
    {
        m_log.warning("control refused the registration: " +
                      std::string(core::to_string(answer->code)));
        return;
    }
    m_registered = true;
    m_next_announce = now + answer->lease / announces_per_lease;
    // An answer from before the revision in force may have an old drain state.
    bool const is_current = answer->current >= m_admission.in_force();
    if (is_current && answer->drain != m_operator_drain)
    {
        m_operator_drain = answer->drain;
        m_log.info(m_operator_drain ? "drain started by operators"
                                    : "drain ended by operators");
        perform(m_admission.drain(now, is_draining()));
    }
    // A drain that began or ended after the request was sent.
    if (m_entry.draining != is_draining())
    {
        m_next_announce = now;
    }
}

void sidecar_service::configure(core::watch_answer const& update)
{
    if (update.config)
    {
        m_loop.post([this, config = *update.config, revision = update.current]
                    { apply(config, revision); });
    }
}

void sidecar_service::apply(core::configuration const& config,
                            core::revision revision)
{
    if (revision < m_admission.in_force())
    {
        // From a deposed leader. A process never returns to a lower revision.
        return;
    }
    auto limits = limits_from_settings(m_settings);
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
    bool is_zone_out = false;
    for (auto const& rule : config.zones)
    {
        is_zone_out =
            is_zone_out || (rule.zone.value() == zone &&
                            rule.state == core::zone_state::out_of_service);
    }
    // The rules in force use canonical names; the settings may use an alias.
    auto const backend = names.resolve_or_same(core::name_kind::instance,
                                               m_settings.backend.value());
    bool const is_leaving =
        std::any_of(config.leaving.begin(),
                    config.leaving.end(),
                    [&backend](core::leaving_rule const& rule)
                    { return rule.backend.value() == backend; });
    auto const now = process::event_loop::now();
    perform(m_admission.configure(now, revision, limits, is_zone_out));
    if (is_leaving != m_operator_drain)
    {
        m_operator_drain = is_leaving;
        perform(m_admission.drain(now, is_draining()));
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
            m_shutdown_drain = true;
            auto const now = process::event_loop::now();
            perform(m_admission.drain(now, true));
            publish_counters();
            m_log.info("drain: " + std::to_string(m_admission.running()) +
                       " requests in progress");
            m_next_announce = now;
        });
}

bool sidecar_service::is_draining() const noexcept
{
    return m_operator_drain || m_shutdown_drain;
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
    decision.subject = request_name(id);
    decision.action = std::move(action);
    decision.target = "attempt " + std::to_string(id.number.value());
    decision.code = code;
    m_decisions.record(std::move(decision));
}

} // namespace turmericswitch::sidecar
