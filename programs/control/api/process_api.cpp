#include "api/process_api.hpp"

#include "core/results/last_reason.hpp"
#include "process/clock/boot_clock.hpp"
#include "wire/codec/message_codec.hpp"

namespace turmericswitch::control
{

namespace
{

void refuse_malformed(transport::responder const& answer)
{
    answer.refuse(core::last_reason().code, core::last_reason().text);
}

/// Commands that gateways and sidecars may send; all others are proposed by
/// the leader itself or come through the operators' interface.
bool is_allowed_for_processes(core::command_body const& body)
{
    return std::holds_alternative<core::claim_key>(body) ||
           std::holds_alternative<core::finish_claim>(body) ||
           std::holds_alternative<core::submit_jobs>(body) ||
           std::holds_alternative<core::cancel_jobs>(body) ||
           std::holds_alternative<core::submit_workflow>(body) ||
           std::holds_alternative<core::cancel_workflow>(body);
}

/// Makes the release of a claim refuse copies of the claim that arrive later.
core::command_body with_retention(core::command_body body)
{
    auto* const end = std::get_if<core::finish_claim>(&body);
    if (end != nullptr && !end->ran)
    {
        end->refuse_for = cluster_state::release_retention;
    }
    return body;
}

} // namespace

process_api::process_api(control_node& node)
    : m_node(node), m_sender(node.group().state().config(), node.metrics())
{
}

void process_api::handle(transport::rpc_request const& request,
                         transport::responder answer)
{
    if (request.path == "/raft")
    {
        raft(request.body, answer);
    }
    else if (request.path == "/watch")
    {
        watch(request.body, std::move(answer));
    }
    else if (request.path == "/config-chunk")
    {
        config_chunk(request.body, std::move(answer));
    }
    else if (request.path == "/leader-watch")
    {
        leader_watch(request.body, std::move(answer));
    }
    else if (request.path == "/announce")
    {
        announce(request.body, std::move(answer));
    }
    else if (request.path == "/command")
    {
        command(request.body, std::move(answer));
    }
    else if (request.path == "/worker-report")
    {
        worker_report(request.body, std::move(answer));
    }
    else if (request.path == "/worker-orders")
    {
        worker_orders(request.body, std::move(answer));
    }
    else if (request.path == "/join")
    {
        join(request.body, std::move(answer));
    }
    else if (request.path == "/workflow-query")
    {
        workflow_query(request.body, std::move(answer));
    }
    else
    {
        answer.refuse(core::result_code::unknown_path,
                      "control does not serve " + request.path);
    }
}

void process_api::raft(std::string const& body,
                       transport::responder const& answer)
{
    auto message = wire::decode<core::consensus_message>(body);
    if (!message)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.receive(std::move(*message));
    answer.answer({});
}

void process_api::watch(std::string const& body, transport::responder answer)
{
    auto request = wire::decode<core::watch_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, request = std::move(*request), answer = std::move(answer)]
        {
            if (auto const& duties = m_node.duties())
            {
                auto const now = process::event_loop::now();
                m_sender.on_watch(now, request);
                duties->watch(
                    now,
                    request,
                    [this, request, answer](core::watch_answer reply)
                    { answer_watch(request, std::move(reply), answer); });
                return;
            }
            core::watch_answer refusal;
            refusal.code = core::result_code::not_leader;
            refusal.leader = leader_rpc();
            answer.answer(wire::encode(refusal));
        });
}

void process_api::answer_watch(core::watch_request const& request,
                               core::watch_answer reply,
                               transport::responder const& answer)
{
    auto const now = process::event_loop::now();
    reply.control = m_node.control_endpoints();
    if (reply.code == core::result_code::ok)
    {
        m_sender.add_transfer(now, request, reply);
    }
    auto body = wire::encode(reply);
    if (reply.config && !request.scope)
    {
        m_sender.count_whole(now, request.process, body.size());
    }
    answer.answer(std::move(body));
}

void process_api::config_chunk(std::string const& body,
                               transport::responder answer)
{
    auto request = wire::decode<core::chunk_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, request = std::move(*request), answer = std::move(answer)]
        {
            answer.answer(wire::encode(
                m_sender.answer_chunk(process::event_loop::now(), request)));
        });
}

void process_api::leader_watch(std::string const& body,
                               transport::responder answer)
{
    auto const request = wire::decode<core::leader_watch_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, request = *request, answer = std::move(answer)]
        {
            m_node.leader_watches().watch(
                process::event_loop::now(),
                request,
                [answer](core::leader_watch_answer const& reply)
                { answer.answer(wire::encode(reply)); });
        });
}

void process_api::announce(std::string const& body, transport::responder answer)
{
    auto request = wire::decode<core::announce_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this,
         request = std::move(*request),
         answer = std::move(answer)]() mutable
        {
            core::announce_answer reply;
            if (auto const& duties = m_node.duties())
            {
                auto& entry = request.entry;
                entry.place = m_node.canonical_place(entry.place);
                entry.service = m_node.canonical_service(entry.service);
                reply = duties->announce(process::event_loop::now(), request);
            }
            else
            {
                reply.code = core::result_code::not_leader;
                reply.leader = leader_rpc();
            }
            answer.answer(wire::encode(reply));
        });
}

void process_api::command(std::string const& body, transport::responder answer)
{
    auto envelope = wire::decode<core::command_envelope>(body);
    if (!envelope)
    {
        refuse_malformed(answer);
        return;
    }
    if (!is_allowed_for_processes(envelope->body))
    {
        answer.refuse(core::result_code::message_malformed,
                      "gateways and sidecars may not send this command");
        return;
    }
    m_node.run(
        [this,
         envelope = std::move(*envelope),
         received = process::boot_time(),
         answer = std::move(answer)]
        {
            auto done = [this, answer](core::command_reply reply)
            {
                if (reply.code == core::result_code::not_leader)
                {
                    reply.leader = leader_rpc();
                }
                answer.answer(wire::encode(reply));
            };
            auto const& workflows = m_node.workflows();
            if (workflows &&
                std::holds_alternative<core::submit_workflow>(envelope.body))
            {
                workflows->submit({envelope, received}, std::move(done));
                return;
            }
            if (workflows &&
                std::holds_alternative<core::cancel_workflow>(envelope.body))
            {
                workflows->cancel(envelope, std::move(done));
                return;
            }
            m_node.group().propose(with_retention(envelope.body),
                                   envelope.client,
                                   envelope.sequence,
                                   std::move(done));
        });
}

template <typename Answer>
Answer process_api::not_leader_answer()
{
    Answer refusal;
    refusal.code = core::result_code::not_leader;
    refusal.leader = leader_rpc();
    return refusal;
}

void process_api::worker_report(std::string const& body,
                                transport::responder answer)
{
    auto report = wire::decode<core::runtime_report>(body);
    if (!report)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this,
         report = std::move(*report),
         answer = std::move(answer)]() mutable
        {
            if (auto const& workflows = m_node.workflows())
            {
                workflows->report(std::move(report),
                                  [this, answer](core::runtime_grant grant)
                                  {
                                      grant.control =
                                          m_node.control_endpoints();
                                      answer.answer(wire::encode(grant));
                                  });
                return;
            }
            answer.answer(
                wire::encode(not_leader_answer<core::runtime_grant>()));
        });
}

void process_api::worker_orders(std::string const& body,
                                transport::responder answer)
{
    auto request = wire::decode<core::orders_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, request = std::move(*request), answer = std::move(answer)]
        {
            if (auto const& workflows = m_node.workflows())
            {
                workflows->poll_orders(
                    request,
                    [answer](core::runtime_orders const& orders)
                    { answer.answer(wire::encode(orders)); });
                return;
            }
            answer.answer(
                wire::encode(not_leader_answer<core::runtime_orders>()));
        });
}

void process_api::join(std::string const& body, transport::responder answer)
{
    auto request = wire::decode<core::join_request>(body);
    if (!request)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, request = std::move(*request), answer = std::move(answer)]
        {
            if (auto const& membership = m_node.membership())
            {
                membership->join(request.member,
                                 [answer](core::join_answer const& reply)
                                 { answer.answer(wire::encode(reply)); });
                return;
            }
            answer.refuse(
                core::result_code::unknown_path,
                "members of this group are changed only by operators");
        });
}

void process_api::workflow_query(std::string const& body,
                                 transport::responder answer)
{
    auto query = wire::decode<core::workflow_query>(body);
    if (!query)
    {
        refuse_malformed(answer);
        return;
    }
    m_node.run(
        [this, query = std::move(*query), answer = std::move(answer)]
        {
            if (auto const& workflows = m_node.workflows())
            {
                workflows->query(query,
                                 [answer](core::workflow_answer const& found)
                                 { answer.answer(wire::encode(found)); });
                return;
            }
            answer.answer(
                wire::encode(not_leader_answer<core::workflow_answer>()));
        });
}

std::optional<core::endpoint> process_api::leader_rpc()
{
    auto const leader = m_node.group().leader();
    return leader ? std::optional(leader->rpc) : std::nullopt;
}

} // namespace turmericswitch::control
