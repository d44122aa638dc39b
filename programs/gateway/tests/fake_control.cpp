#include "gateway/tests/fake_control.hpp"

#include "process/loop/event_loop.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"

#include <utility>

namespace turmericswitch::testing
{

fake_control::fake_control(transport::io_pool& io, std::string const& rules)
    : m_registry(core::term(1), std::chrono::hours(1))
{
    run(core::apply_rules{core::operator_id("o"), {}, rules});
    transport::connection_options options;
    options.protocol_version = wire::protocol_version;
    m_rpc = transport::rpc_server::listen(
        io,
        {"127.0.0.1", 0},
        [this](transport::rpc_request const& request,
               transport::responder const& answer) { handle(request, answer); },
        options);
}

fake_control::~fake_control()
{
    disconnect();
}

core::endpoint fake_control::where() const
{
    return m_rpc->bound();
}

void fake_control::disconnect()
{
    m_rpc.reset();
    std::lock_guard const lock(m_mutex);
    m_polls.clear();
    m_announce_replies.clear();
}

core::command_reply fake_control::run(core::command_body body)
{
    core::command_envelope envelope;
    envelope.cluster_time = process::event_loop::now();
    envelope.body = std::move(body);
    return m_state.apply(core::log_index(++m_index), envelope);
}

void fake_control::apply(core::command_body body)
{
    std::lock_guard const lock(m_mutex);
    run(std::move(body));
    answer_polls();
}

void fake_control::hold_polls(bool held)
{
    std::lock_guard const lock(m_mutex);
    m_polls_held = held;
    answer_polls();
}

void fake_control::hold_announce_answers(bool held)
{
    std::lock_guard const lock(m_mutex);
    m_announce_answers_held = held;
    answer_announces();
}

void fake_control::depose_during_next_command(bool is_committed)
{
    std::lock_guard const lock(m_mutex);
    m_deposed_commit = is_committed;
}

std::size_t fake_control::backends() const
{
    std::lock_guard const lock(m_mutex);
    return m_registry.size();
}

std::size_t fake_control::draining_announces() const
{
    std::lock_guard const lock(m_mutex);
    return m_draining_announces;
}

void fake_control::handle(transport::rpc_request const& request,
                          transport::responder const& answer)
{
    std::lock_guard const lock(m_mutex);
    if (request.path == "/watch")
    {
        m_polls.push_back(
            {*wire::decode<core::watch_request>(request.body), answer});
    }
    else if (request.path == "/announce")
    {
        auto announce = *wire::decode<core::announce_request>(request.body);
        announce.entry.place.region = core::region_id("n");
        m_draining_announces += announce.entry.draining ? 1 : 0;
        auto const& config = m_state.config();
        m_announce_replies.push_back(
            {wire::encode(
                 m_registry.announce(announce,
                                     config.is_leaving(announce.entry.backend),
                                     config.current(),
                                     process::event_loop::now())),
             answer});
        answer_announces();
    }
    else
    {
        auto command = *wire::decode<core::command_envelope>(request.body);
        answer.answer(wire::encode(handle_command(std::move(command.body))));
    }
    answer_polls();
}

core::command_reply fake_control::handle_command(core::command_body body)
{
    auto const deposed = std::exchange(m_deposed_commit, std::nullopt);
    if (!deposed)
    {
        return run(std::move(body));
    }
    if (*deposed)
    {
        run(std::move(body));
    }
    core::command_reply reply;
    reply.code = core::result_code::outcome_unknown;
    return reply;
}

void fake_control::answer_polls()
{
    auto const& config = m_state.config();
    std::erase_if(
        m_polls,
        [&](poll const& each)
        {
            bool const has_config = each.request.in_force < config.current();
            bool const has_update =
                has_config || (!each.request.scope &&
                               each.request.registry != m_registry.version());
            if (m_polls_held || !has_update)
            {
                return false;
            }
            core::watch_answer update;
            update.current = config.current();
            if (has_config)
            {
                update.config = config.in_force();
            }
            if (!each.request.scope)
            {
                m_registry.changes_since(each.request.registry, update);
            }
            each.answer.answer(wire::encode(update));
            return true;
        });
}

void fake_control::answer_announces()
{
    if (m_announce_answers_held)
    {
        return;
    }
    for (auto const& [body, answer] : std::exchange(m_announce_replies, {}))
    {
        answer.answer(body);
    }
}

} // namespace turmericswitch::testing
