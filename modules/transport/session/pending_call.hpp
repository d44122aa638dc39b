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

    /// Runs the callback on the first call; later calls do nothing.
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

    /// Ends a call that has no answer: as lost if its headers were sent, else
    /// as not_sent.
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
    /// Bytes of the body that nghttp2 has taken.
    std::size_t offset = 0;
    /// Once true, the peer may process the call.
    bool headers_sent = false;
    std::uint16_t answer_code = 0;
    std::string answer;
};

using call_pointer = std::shared_ptr<pending_call>;

} // namespace turmericswitch::transport

#endif
