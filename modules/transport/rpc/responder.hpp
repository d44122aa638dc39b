#ifndef TURMERICSWITCH_TRANSPORT_RPC_RESPONDER_HPP
#define TURMERICSWITCH_TRANSPORT_RPC_RESPONDER_HPP

#include "core/results/result_code.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmericswitch::transport
{

/// Answer of a handler: a body, or a refusal.
struct rpc_answer
{
    core::result_code code = core::result_code::ok;
    /// The body if code is ok, else the text of the refusal.
    std::string body;
};

/// Answers one call, from any thread and at any time, exactly once.
///
/// Copies share one answer. When the last copy is destroyed without an answer,
/// the stream is reset and the call ends as `lost` in the client.
class responder
{
public:
    /// Receives the answer, or nothing when all copies of the responder were
    /// destroyed without one.
    using answer_callback = std::function<void(std::optional<rpc_answer>)>;

    explicit responder(answer_callback on_answer);

    void answer(std::string body) const;

    /// Reports that the call was not processed. The call ends as `not_sent`
    /// with this code in the client, which may repeat it, so never refuse
    /// after work has begun.
    ///
    /// @param code Not ok.
    void refuse(core::result_code code, std::string text) const;

private:
    struct state;
    void finish(rpc_answer value) const;

    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::transport

#endif
