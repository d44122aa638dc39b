#ifndef TURMERICSWITCH_TRANSPORT_SESSION_PENDING_CALL_HPP
#define TURMERICSWITCH_TRANSPORT_SESSION_PENDING_CALL_HPP

#include "transport/rpc/rpc_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <utility>

namespace turmericswitch::transport
{

/// One call of an rpc_client from call() to its callback.
struct pending_call
{
    explicit pending_call(boost::asio::any_io_executor const& strand)
        : timer(strand)
    {
    }

    /// Runs the callback the first time, and nothing later.
    void finish(call_outcome outcome, core::result_code code, std::string text)
    {
        if (!done)
        {
            return;
        }
        timer.cancel();
        auto const callback = std::exchange(done, nullptr);
        callback({outcome, code, std::move(text)});
    }

    /// Ends a call that got no answer.
    void fail(core::result_code code, std::string text)
    {
        finish(headers_sent ? call_outcome::lost : call_outcome::not_sent,
               code,
               std::move(text));
    }

    std::string path;
    std::string body;
    call_callback done;
    boost::asio::steady_timer timer;
    std::size_t offset = 0;
    /// From here on the peer may process the call.
    bool headers_sent = false;
    std::uint16_t answer_code = 0;
    std::string answer;
};

using call_pointer = std::shared_ptr<pending_call>;

} // namespace turmericswitch::transport

#endif
