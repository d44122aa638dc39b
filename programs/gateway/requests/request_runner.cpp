#include "gateway/requests/request_runner.hpp"

#include "core/results/last_reason.hpp"
#include "settings/values/parse_value.hpp"
#include "wire/codec/message_codec.hpp"

#include <map>
#include <thread>
#include <utility>

namespace turmericswitch::gateway
{

namespace
{

/// Added to a call's timeout, so that the flow's deadline passes first and the
/// sidecar can still report that it refused the attempt.
constexpr core::duration call_timeout_margin = std::chrono::milliseconds(50);
constexpr core::duration cancel_timeout = std::chrono::milliseconds(500);
constexpr core::duration claim_timeout = std::chrono::seconds(2);
/// Longest wait without a timer of the flow. A request that waits for nothing
/// ends at once, so this only limits the effect of a fault.
constexpr core::duration max_wait = std::chrono::seconds(60);

constexpr core::duration claim_retry_delay = std::chrono::milliseconds(50);
constexpr core::duration shutdown_poll_interval = std::chrono::milliseconds(5);

constexpr auto key_field = "Idempotency-Key";
constexpr auto timeout_field = "X-Request-Timeout";
constexpr auto outcome_field = "X-Request-Outcome";

std::atomic<std::uint64_t> last_runner_id = 0;

core::duration requested_timeout(web::http_request const& request)
{
    auto const* const text = web::find_field(request.fields, timeout_field);
    return text != nullptr ? settings::parse_duration(*text).value_or(
                                 core::duration::zero())
                           : core::duration::zero();
}

char const* outcome_name(core::attempt_outcome outcome)
{
    switch (outcome)
    {
    case core::attempt_outcome::ran:
        return "ran";
    case core::attempt_outcome::not_run:
        return "not_run";
    case core::attempt_outcome::unknown:
        break;
    }
    return "outcome_unknown";
}

} // namespace

request_metrics::request_metrics(telemetry::metrics_registry& registry)
    : answered(registry.counter("turmericswitch_gateway_requests_total",
                                "Requests of callers, by outcome.",
                                {{"outcome", "ran"}})),
      not_run(registry.counter("turmericswitch_gateway_requests_total",
                               "Requests of callers, by outcome.",
                               {{"outcome", "not_run"}})),
      outcome_unknown(registry.counter("turmericswitch_gateway_requests_total",
                                       "Requests of callers, by outcome.",
                                       {{"outcome", "outcome_unknown"}})),
      dropped_claim_ends(
          registry.counter("turmericswitch_gateway_dropped_claim_ends_total",
                           "Ends of claims that were dropped because control "
                           "did not answer.")),
      latency(registry.latency("turmericswitch_gateway_request_seconds",
                               "Time from a request to its answer."))
{
}

struct request_runner::thread_state
{
    thread_state(runner_dependencies const& dependencies, std::uint64_t seed)
        : tables(dependencies.routes.tables()),
          location(dependencies.routes.location()),
          links(dependencies.routes.links().published()),
          context{{},
                  [this] { return tables.get(); },
                  routing::backend_selector(dependencies.policy),
                  core::seeded_random(seed),
                  {},
                  &dependencies.counters}
    {
    }

    routing::table_reader tables;
    core::snapshot_reader<core::location> location;
    core::snapshot_reader<link_map> links;
    routing::flow_context context;
};

request_runner::request_runner(runner_dependencies dependencies)
    : m_dependencies(std::move(dependencies)),
      m_incarnation(m_dependencies.random_seed),
      m_claim_ends(std::make_shared<claim_end_sender>(make_end_hooks())),
      m_runner_id(++last_runner_id)
{
}

request_runner::~request_runner()
{
    m_claim_ends->stop();
    while (m_open_claims > 0 || m_claim_ends->in_flight() > 0)
    {
        // The wait is bounded by the timeout of a claim.
        std::this_thread::sleep_for(shutdown_poll_interval);
    }
}

request_runner::thread_state& request_runner::this_thread_state()
{
    thread_local std::map<std::uint64_t, std::unique_ptr<thread_state>> states;
    auto& state = states[m_runner_id];
    if (!state)
    {
        state = std::make_unique<thread_state>(
            m_dependencies, m_dependencies.random_seed + ++m_thread_count);
    }
    return *state;
}

web::http_response request_runner::serve(web::http_request const& request)
{
    auto const started_at = process::event_loop::now();
    auto& state = this_thread_state();
    auto const location = state.location.get();
    auto const links = state.links.get();
    if (!location || !links)
    {
        m_dependencies.metrics.not_run.add();
        return web::error_response(core::result_code::not_ready,
                                   "no configuration from control yet");
    }
    state.context.gateway = *location;
    routing::caller_request caller_request;
    caller_request.id = {m_incarnation, core::sequence_number(++m_sequence)};
    caller_request.content = request;
    std::erase_if(caller_request.content.fields,
                  [](core::http_field const& field)
                  { return web::is_connection_field(field.name); });
    if (auto const* const key = web::find_field(request.fields, key_field))
    {
        caller_request.key = *key;
    }
    caller_request.timeout = requested_timeout(request);
    routing::request_flow flow(state.context, std::move(caller_request));
    auto result = run(flow, *links);
    m_dependencies.metrics.latency.add(process::event_loop::now() - started_at);
    return respond(std::move(result));
}

routing::finish_request request_runner::run(routing::request_flow& flow,
                                            link_map const& links)
{
    run_state state{flow,
                    std::make_shared<request_mailbox>(),
                    links,
                    process::event_loop::now() + max_wait,
                    std::nullopt};
    perform(state, flow.begin(process::event_loop::now()));
    while (!state.result)
    {
        if (auto const arrived = state.events->take(state.timer_due))
        {
            perform(state, deliver(state, *arrived));
        }
        else
        {
            state.timer_due = process::event_loop::now() + max_wait;
            perform(state, flow.timer(process::event_loop::now()));
        }
    }
    for (auto const& late : state.events->close())
    {
        // The flow releases a claim that was granted too late.
        perform(state, deliver(state, late));
    }
    return std::move(*state.result);
}

void request_runner::perform(run_state& run, routing::flow_actions actions)
{
    for (auto& action : actions)
    {
        if (auto* const attempt = std::get_if<routing::send_attempt>(&action))
        {
            m_dependencies.decisions.record(std::move(attempt->record));
            send(run, *attempt);
        }
        else if (auto* const cancel =
                     std::get_if<routing::send_cancel>(&action))
        {
            send(run, *cancel);
        }
        else if (auto* const claim = std::get_if<routing::send_claim>(&action))
        {
            send(run, *claim);
        }
        else if (auto* const end = std::get_if<routing::end_claim>(&action))
        {
            m_claim_ends->add(std::move(end->command));
        }
        else if (auto* const wait = std::get_if<routing::set_timer>(&action))
        {
            run.timer_due = wait->until;
        }
        else if (auto* const done =
                     std::get_if<routing::finish_request>(&action))
        {
            m_dependencies.decisions.record(std::move(done->record));
            run.result = std::move(*done);
        }
    }
}

std::shared_ptr<transport::rpc_client>
request_runner::find_client(run_state const& run, core::endpoint const& sidecar)
{
    if (auto const link = run.links.find(sidecar); link != run.links.end())
    {
        return link->second.client;
    }
    // The table may have changed during the request and name a new sidecar.
    auto const current = this_thread_state().links.get();
    auto const found = current->find(sidecar);
    return found == current->end() ? nullptr : found->second.client;
}

void request_runner::send(run_state& run, routing::send_attempt const& action)
{
    auto const id = action.request.id;
    auto const client = find_client(run, action.sidecar);
    if (!client)
    {
        run.events->put(attempt_result{id,
                                       {transport::call_outcome::not_sent,
                                        core::result_code::peer_unreachable,
                                        "no connection to the sidecar"}});
        return;
    }
    client->call("/attempt",
                 wire::encode(action.request),
                 action.request.remaining + call_timeout_margin,
                 [events = run.events, id](transport::call_result result) {
                     events->put(attempt_result{id, std::move(result)});
                 });
}

void request_runner::send(run_state& run, routing::send_cancel const& action)
{
    auto const id = action.request.id;
    auto const client = find_client(run, action.sidecar);
    if (!client)
    {
        run.events->put(cancel_result{id, {}});
        return;
    }
    client->call("/cancel",
                 wire::encode(action.request),
                 cancel_timeout,
                 [events = run.events, id](transport::call_result result) {
                     events->put(cancel_result{id, std::move(result)});
                 });
}

void request_runner::send(run_state& run, routing::send_claim const& action)
{
    ++m_open_claims;
    core::command_envelope envelope;
    envelope.body = action.command;
    send_claim(std::make_shared<claim_call>(
        claim_call{action.command, wire::encode(envelope), run.events}));
}

void request_runner::send_claim(std::shared_ptr<claim_call> const& call)
{
    m_dependencies.control.call(
        "/command",
        call->encoded,
        claim_timeout,
        [this, call](shared::control_result const& result)
        { handle_claim_result(call, result); });
}

void request_runner::handle_claim_result(
    std::shared_ptr<claim_call> const& call,
    shared::control_result const& result)
{
    auto const decision = read_claim_decision(result);
    if (!decision && !call->events->is_closed())
    {
        // An election is shorter than most deadlines, and a request may
        // repeat the claim of its key.
        m_dependencies.io.post_after(claim_retry_delay,
                                     [this, call] { send_claim(call); });
        return;
    }
    bool const is_late =
        decision && !call->events->put(claim_result{*decision});
    if (is_late && decision == core::result_code::ok)
    {
        // The request ended before an attempt was sent to any sidecar.
        m_claim_ends->add({call->command.service,
                           call->command.key,
                           call->command.request,
                           false});
    }
    // Must come last: the destructor waits for it.
    --m_open_claims;
}

std::optional<core::command_reply>
request_runner::read_reply(shared::control_result const& result)
{
    auto reply = result.outcome == transport::call_outcome::answered
                     ? wire::decode<core::command_reply>(result.body)
                     : std::nullopt;
    if (reply && reply->code == core::result_code::not_leader)
    {
        m_dependencies.control.not_leader(result, reply->leader);
    }
    return reply;
}

std::optional<core::result_code>
request_runner::read_claim_decision(shared::control_result const& result)
{
    auto const reply = read_reply(result);
    if (!reply)
    {
        return std::nullopt;
    }
    // A leader that is deposed answers `outcome_unknown` too, for the command.
    // Only a command that was applied names the revision in force.
    bool const is_held = reply->code == core::result_code::outcome_unknown &&
                         reply->current > core::revision();
    bool const is_decided = is_held || reply->code == core::result_code::ok ||
                            reply->code == core::result_code::not_run ||
                            reply->code == core::result_code::duplicate_request;
    return is_decided ? std::optional(reply->code) : std::nullopt;
}

claim_end_hooks request_runner::make_end_hooks()
{
    claim_end_hooks hooks;
    hooks.send = [this](core::finish_claim const& end,
                        claim_end_hooks::applied_hook const& done)
    {
        core::command_envelope envelope;
        envelope.body = end;
        m_dependencies.control.call(
            "/command",
            wire::encode(envelope),
            claim_timeout,
            [this, done](shared::control_result const& result)
            { done(is_end_applied(result)); });
    };
    hooks.run_after = [&io = m_dependencies.io](core::duration delay,
                                                std::function<void()> task)
    { io.post_after(delay, std::move(task)); };
    hooks.now = &process::event_loop::now;
    hooks.dropped = [&dropped = m_dependencies.metrics.dropped_claim_ends]
    { dropped.add(); };
    return hooks;
}

bool request_runner::is_end_applied(shared::control_result const& result)
{
    auto const reply = read_reply(result);
    return reply && reply->code == core::result_code::ok;
}

routing::flow_actions request_runner::deliver(run_state& run,
                                              event const& arrived)
{
    auto const now = process::event_loop::now();
    if (auto const* const claim = std::get_if<claim_result>(&arrived))
    {
        return run.flow.claim_answered(now, claim->code);
    }
    if (auto const* const cancel = std::get_if<cancel_result>(&arrived))
    {
        auto const answer =
            wire::decode<core::cancel_answer>(cancel->result.body);
        bool const is_answered =
            cancel->result.outcome == transport::call_outcome::answered;
        return run.flow.cancel_answered(now,
                                        cancel->id,
                                        is_answered && answer
                                            ? std::optional(answer->outcome)
                                            : std::nullopt);
    }
    auto const& attempt = std::get<attempt_result>(arrived);
    if (attempt.result.outcome == transport::call_outcome::not_sent)
    {
        return run.flow.attempt_not_sent(now, attempt.id);
    }
    auto answer = attempt.result.outcome == transport::call_outcome::answered
                      ? wire::decode<core::attempt_answer>(attempt.result.body)
                      : std::nullopt;
    return answer ? run.flow.attempt_answered(now, std::move(*answer))
                  : run.flow.attempt_lost(now, attempt.id);
}

web::http_response request_runner::respond(routing::finish_request result)
{
    web::http_response response;
    if (result.outcome == core::attempt_outcome::ran)
    {
        m_dependencies.metrics.answered.add();
        response = std::move(result.answer);
        std::erase_if(response.fields,
                      [](core::http_field const& field)
                      { return web::is_connection_field(field.name); });
    }
    else
    {
        (result.outcome == core::attempt_outcome::not_run
             ? m_dependencies.metrics.not_run
             : m_dependencies.metrics.outcome_unknown)
            .add();
        response = web::error_response(
            result.code, std::string(core::to_string(result.code)));
    }
    response.fields.push_back({outcome_field, outcome_name(result.outcome)});
    return response;
}

} // namespace turmericswitch::gateway
