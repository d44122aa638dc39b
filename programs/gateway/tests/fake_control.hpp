#ifndef TURMERICSWITCH_GATEWAY_TESTS_FAKE_CONTROL_HPP
#define TURMERICSWITCH_GATEWAY_TESTS_FAKE_CONTROL_HPP

#include "cluster_state/cluster_state.hpp"
#include "transport/transport.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::testing
{

/// A control instance without consensus. It applies commands at once and
/// answers a poll when something has changed.
class fake_control
{
public:
    /// @param io Must outlive the control.
    fake_control(transport::io_pool& io, std::string const& rules);
    ~fake_control();

    fake_control(fake_control const&) = delete;
    fake_control& operator=(fake_control const&) = delete;

    core::endpoint where() const;

    void apply(core::command_body body);
    /// While polls are held, gateways and sidecars get no updates.
    void hold_polls(bool held);
    /// While answers to announces are held, control registers the sidecars, but
    /// they get no answers.
    void hold_announce_answers(bool held);
    /// The next command gets the answer of a leader that is deposed before the
    /// commit.
    ///
    /// @param is_committed True if the next leader commits the command.
    void depose_during_next_command(bool is_committed);
    /// Closes the port and all connections.
    void disconnect();
    /// @return Number of backend servers in the registry.
    std::size_t backends() const;
    /// @return Number of announces from draining sidecars.
    std::size_t draining_announces() const;

private:
    struct poll
    {
        core::watch_request request;
        transport::responder answer;
    };

    struct announce_reply
    {
        std::string body;
        transport::responder answer;
    };

    void handle(transport::rpc_request const& request,
                transport::responder const& answer);
    core::command_reply handle_command(core::command_body body);
    void answer_polls();
    void answer_announces();
    core::command_reply run(core::command_body body);

    mutable std::mutex m_mutex;
    cluster_state::state_machine m_state;
    cluster_state::backend_registry m_registry;
    std::uint64_t m_index = 0;
    std::vector<poll> m_polls;
    bool m_polls_held = false;
    std::vector<announce_reply> m_announce_replies;
    bool m_announce_answers_held = false;
    std::size_t m_draining_announces = 0;
    /// Whether the next command is committed, if its leader is deposed.
    std::optional<bool> m_deposed_commit;
    std::unique_ptr<transport::rpc_server> m_rpc;
};

} // namespace turmericswitch::testing

#endif
