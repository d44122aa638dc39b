#include "request_path_simulation.hpp"

#include "simulation_topology.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

request_path_simulation::request_path_simulation(std::uint64_t seed,
                                                 bool with_faults)
    : m_with_faults(with_faults),
      m_random(core::seeded_random(seed)),
      m_network(seed + 1, with_faults ? faults : testing::network_faults{}),
      m_config(make_config()),
      m_gateways(gateway_count),
      m_sidecars(sidecar_count)
{
    for (std::size_t i = 0; i < sidecar_count; ++i)
    {
        restart_sidecar(i);
    }
    for (std::size_t i = 0; i < gateway_count; ++i)
    {
        restart_gateway(i);
    }
}

bool request_path_simulation::roll_fault(std::uint32_t percent)
{
    return m_with_faults && m_network.roll(percent);
}

void request_path_simulation::run(simulation_step const& step)
{
    auto const gateway = step.a % gateway_count;
    auto const sidecar = step.a % sidecar_count;
    switch (step.kind)
    {
    case step_kind::request:
        submit(gateway, step.b % 3 == 0, "");
        break;
    case step_kind::keyed_request:
        submit(gateway, false, "key" + std::to_string(step.b % 4));
        break;
    case step_kind::advance:
        advance(m_now + std::chrono::milliseconds(step.a));
        break;
    case step_kind::restart_sidecar:
        restart_sidecar(sidecar);
        break;
    case step_kind::drain:
        set_drain(sidecar, step.b % 2 == 0);
        break;
    case step_kind::toggle_zone:
        toggle_zone(sidecar);
        break;
    case step_kind::update_route_table:
        update_route_table(gateway);
        break;
    case step_kind::cut:
        m_network.cut(
            static_cast<std::uint32_t>(gateway),
            static_cast<std::uint32_t>(first_sidecar + step.b % sidecar_count),
            true);
        break;
    case step_kind::heal:
        m_network.heal();
        break;
    case step_kind::restart_gateway:
        restart_gateway(gateway);
        break;
    }
}

violations const& request_path_simulation::finish_and_check()
{
    m_network.heal();
    advance(m_now + std::chrono::seconds(5));
    check_end_state();
    return m_violations;
}

void request_path_simulation::advance(core::time_point until)
{
    while (auto const delivery = m_network.next(until))
    {
        m_now = std::max(m_now, delivery->at);
        deliver(*delivery);
    }
    m_now = until;
}

void request_path_simulation::deliver(network::delivery const& delivery)
{
    if (delivery.to == control_node)
    {
        deliver_to_control(delivery.from, delivery.message);
    }
    else if (delivery.to >= first_sidecar)
    {
        deliver_to_sidecar(delivery.to - first_sidecar, delivery.message);
    }
    else
    {
        deliver_to_gateway(delivery.to, delivery.message);
    }
}

void request_path_simulation::deliver_to_gateway(std::size_t index,
                                                 message const& content)
{
    auto& flows = m_gateways[index].flows;
    record_attempt_end(content);
    auto const with = [&](core::request_id const& id, auto const& event)
    {
        if (auto const found = flows.find(id); found != flows.end())
        {
            perform(index, id, event(*found->second));
        }
    };
    if (auto const* answered = std::get_if<core::attempt_answer>(&content))
    {
        with(answered->id.request,
             [&](auto& flow)
             { return flow.attempt_answered(m_now, *answered); });
    }
    else if (auto const* lost = std::get_if<attempt_lost>(&content))
    {
        with(lost->id.request,
             [&](auto& flow) { return flow.attempt_lost(m_now, lost->id); });
    }
    else if (auto const* unsent = std::get_if<attempt_not_sent>(&content))
    {
        with(unsent->id.request,
             [&](auto& flow)
             { return flow.attempt_not_sent(m_now, unsent->id); });
    }
    else if (auto const* cancel = std::get_if<core::cancel_answer>(&content))
    {
        with(cancel->id.request,
             [&](auto& flow) {
                 return flow.cancel_answered(
                     m_now, cancel->id, cancel->outcome);
             });
    }
    else if (auto const* reply = std::get_if<claim_reply>(&content))
    {
        with(reply->request,
             [&](auto& flow)
             { return flow.claim_answered(m_now, reply->code); });
    }
    else if (auto const* due = std::get_if<flow_timer>(&content))
    {
        with(due->id, [&](auto& flow) { return flow.timer(m_now); });
    }
}

void request_path_simulation::record_attempt_end(message const& content)
{
    if (auto const* answered = std::get_if<core::attempt_answer>(&content))
    {
        m_observed[answered->id.request].open.erase(answered->id);
    }
    else if (auto const* lost = std::get_if<attempt_lost>(&content))
    {
        m_observed[lost->id.request].open.erase(lost->id);
    }
    else if (auto const* cancel = std::get_if<core::cancel_answer>(&content))
    {
        bool const ended = cancel->outcome == core::cancel_outcome::cancelled;
        m_observed[cancel->id.request].open.erase(ended ? cancel->id
                                                        : core::attempt_id{});
    }
}

void request_path_simulation::deliver_to_sidecar(std::size_t index,
                                                 message const& content)
{
    auto& node = m_sidecars[index];
    if (auto const* attempt = std::get_if<core::attempt_request>(&content))
    {
        auto& deadline = m_attempt_deadlines[attempt->id];
        deadline = std::max(deadline, m_now + attempt->remaining);
        perform(index, node.core->attempt(m_now, *attempt));
    }
    else if (auto const* cancel = std::get_if<core::cancel_request>(&content))
    {
        perform(index, node.core->cancel(m_now, *cancel));
    }
    else if (auto const* done = std::get_if<backend_done>(&content))
    {
        if (done->id.sidecar != node.incarnation)
        {
            return;
        }
        --node.executing;
        core::answer_content answer;
        answer.status = 200;
        answer.body = expected_answer(done->content.body);
        perform(index,
                done->answered
                    ? node.core->backend_answered(m_now, done->id, answer)
                    : node.core->backend_failed(m_now, done->id, done->sent));
    }
    else
    {
        perform(index, node.core->timer(m_now));
    }
    if (auto const due = node.core->next_timer())
    {
        m_network.post(*due, 0, node_of(index), sidecar_timer{});
    }
}

void request_path_simulation::deliver_to_control(std::uint32_t from,
                                                 message const& content)
{
    if (auto const* claimed = std::get_if<core::claim_key>(&content))
    {
        auto const [found, fresh] =
            m_claims.try_emplace(claimed->key, claim_state{claimed->request});
        auto const& state = found->second;
        auto code = core::result_code::ok;
        if (!fresh && state.owner != claimed->request)
        {
            code = state.finished ? core::result_code::duplicate_request
                                  : core::result_code::outcome_unknown;
        }
        m_network.send(
            m_now, control_node, from, claim_reply{claimed->request, code});
    }
    else if (auto const* end = std::get_if<core::finish_claim>(&content))
    {
        auto const found = m_claims.find(end->key);
        if (found == m_claims.end() || found->second.owner != end->request)
        {
            return;
        }
        found->second.finished = end->ran;
        if (!end->ran)
        {
            m_claims.erase(found);
        }
    }
}

void request_path_simulation::submit(std::size_t gateway,
                                     bool idempotent,
                                     std::string const& key)
{
    auto& node = m_gateways[gateway];
    caller_request request;
    request.id = {node.incarnation, core::sequence_number(m_next_sequence++)};
    request.content.method = idempotent ? "GET" : "POST";
    request.content.target = "/book/slot?day=1";
    request.content.body = "body " + std::to_string(m_next_sequence);
    if (!key.empty())
    {
        request.key = key;
    }
    auto& observed = m_observed[request.id];
    observed.body = request.content.body;
    observed.key = key;
    observed.idempotent = idempotent;
    // Short enough for the request to expire in a sidecar's queue.
    if (roll_fault(30))
    {
        request.timeout = std::chrono::milliseconds(40);
    }
    // Keeps the delay of a hedge short, so that many requests have two
    // attempts open at once.
    for (int i = 0; i < 100; ++i)
    {
        node.table->services.begin()->second.latency->record(
            std::chrono::milliseconds(1));
    }
    auto const id = request.id;
    auto& flow = node.flows[id];
    flow = std::make_unique<request_flow>(*node.context, std::move(request));
    perform(gateway, id, flow->begin(m_now));
}

void request_path_simulation::perform(std::size_t gateway,
                                      core::request_id const& id,
                                      flow_actions const& actions)
{
    auto const self = static_cast<std::uint32_t>(gateway);
    for (auto const& action : actions)
    {
        if (auto const* send = std::get_if<send_attempt>(&action))
        {
            perform_send(gateway, *send);
        }
        else if (auto const* cancel = std::get_if<send_cancel>(&action))
        {
            m_network.send(m_now, self, cancel->sidecar.port, cancel->request);
        }
        else if (auto const* claimed = std::get_if<send_claim>(&action))
        {
            m_network.send(m_now, self, control_node, claimed->command);
        }
        else if (auto const* end = std::get_if<end_claim>(&action))
        {
            m_network.send(m_now, self, control_node, end->command);
        }
        else if (auto const* until = std::get_if<set_timer>(&action))
        {
            m_network.post(until->until, self, self, flow_timer{id});
        }
        else if (auto const* done = std::get_if<finish_request>(&action))
        {
            perform_finish(id, *done);
        }
    }
}

void request_path_simulation::perform_send(std::size_t gateway,
                                           send_attempt const& action)
{
    auto const self = static_cast<std::uint32_t>(gateway);
    auto const sidecar = action.sidecar.port;
    auto const& id = action.request.id;
    auto const index = sidecar - first_sidecar;
    // A cut link either fails the connect or silently drops the attempt.
    if (m_network.is_cut(self, sidecar) && roll_fault(50))
    {
        m_network.post(m_now, sidecar, self, attempt_not_sent{id});
        return;
    }
    bool const crosses =
        location_of(index).region != location_of(gateway_zone[gateway]).region;
    auto& observed = m_observed[id.request];
    observed.crossings += crosses ? 1 : 0;
    observed.open.insert(id);
    if (observed.open.size() > (observed.idempotent ? 2 : 1))
    {
        m_violations.too_many_attempts = observed.body;
    }
    m_network.send(m_now, self, sidecar, action.request);
    // The stream may break while the attempt is still in transit.
    if (roll_fault(15))
    {
        m_network.post(
            m_now + m_network.delay(), sidecar, self, attempt_lost{id});
    }
}

void request_path_simulation::perform_finish(core::request_id const& id,
                                             finish_request const& action)
{
    auto& observed = m_observed[id];
    ++observed.ends;
    observed.refused_as_not_run =
        action.outcome == core::attempt_outcome::not_run;
    if (action.outcome != core::attempt_outcome::ran)
    {
        return;
    }
    ++m_answered;
    if (action.answer.body != expected_answer(observed.body) ||
        observed.runs == 0)
    {
        m_violations.wrong_answer =
            "answer of " + observed.body + " is " + action.answer.body;
    }
}

void request_path_simulation::perform(
    std::size_t sidecar, admission::admission_actions const& actions)
{
    auto const self = node_of(sidecar);
    for (auto const& action : actions)
    {
        if (auto const* begin = std::get_if<admission::start>(&action))
        {
            start(sidecar, begin->request);
        }
        else if (auto const* answered = std::get_if<admission::answer>(&action))
        {
            auto content = answered->content;
            if (roll_fault(3))
            {
                content.answer.body.resize(content.answer.body.size() / 2);
            }
            m_network.send(
                m_now, self, gateway_of(content.id.request), content);
        }
        else if (auto const* refused = std::get_if<admission::refuse>(&action))
        {
            m_network.send(m_now,
                           self,
                           gateway_of(refused->content.id.request),
                           refused->content);
        }
        else if (auto const* cancel =
                     std::get_if<admission::answer_cancel>(&action))
        {
            m_network.send(m_now,
                           self,
                           gateway_of(cancel->content.id.request),
                           cancel->content);
        }
    }
}

void request_path_simulation::start(std::size_t sidecar,
                                    core::attempt_request const& request)
{
    auto& node = m_sidecars[sidecar];
    if (node.draining || zone_is_out(sidecar))
    {
        m_violations.start_after_drain = request.content.body;
    }
    if (++node.executing > limits.slots)
    {
        m_violations.slots_exceeded = request.content.body;
    }
    if (m_now >= m_attempt_deadlines[request.id])
    {
        m_violations.start_after_deadline = request.content.body;
    }
    bool const connected = !roll_fault(5);
    bool const answered = connected && !roll_fault(10);
    m_observed[request.id.request].runs += connected ? 1 : 0;
    m_network.post(
        m_now + m_network.delay() * 2,
        0,
        node_of(sidecar),
        backend_done{request.id, request.content, answered, connected});
}

} // namespace turmericswitch::routing
