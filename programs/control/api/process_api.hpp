#ifndef TURMERICSWITCH_CONTROL_API_PROCESS_API_HPP
#define TURMERICSWITCH_CONTROL_API_PROCESS_API_HPP

#include "api/config_sender.hpp"
#include "node/control_node.hpp"
#include "transport/transport.hpp"

namespace turmericswitch::control
{

/// Serves the RPC calls of gateways, sidecars and other control instances.
class process_api
{
public:
    /// @param node Must outlive this object.
    explicit process_api(control_node& node);

    /// Handles one call. Called on an io thread; the answer follows from the
    /// event loop's thread.
    void handle(transport::rpc_request const& request,
                transport::responder answer);

private:
    void watch(std::string const& body, transport::responder answer);
    void config_chunk(std::string const& body, transport::responder answer);
    void answer_watch(core::watch_request const& request,
                      core::watch_answer reply,
                      transport::responder const& answer);
    void leader_watch(std::string const& body, transport::responder answer);
    void announce(std::string const& body, transport::responder answer);
    void command(std::string const& body, transport::responder answer);
    void worker_report(std::string const& body, transport::responder answer);
    void worker_orders(std::string const& body, transport::responder answer);
    void join(std::string const& body, transport::responder answer);
    void workflow_query(std::string const& body, transport::responder answer);
    template <typename Answer>
    Answer not_leader_answer();
    void raft(std::string const& body, transport::responder const& answer);
    std::optional<core::endpoint> leader_rpc();

    control_node& m_node;
    config_sender m_sender;
};

} // namespace turmericswitch::control

#endif
