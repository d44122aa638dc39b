#ifndef TURMERICSWITCH_WEB_CLIENT_HTTP_CLIENT_HPP
#define TURMERICSWITCH_WEB_CLIENT_HTTP_CLIENT_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "web/message/http_message.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace turmericswitch::web
{

/// How a request ended.
enum class http_outcome
{
    /// The response is complete.
    answered,
    /// No connection was made, so the peer has not seen the request, not even
    /// before a retry.
    not_sent,
    /// The request may have run.
    lost,
};

/// Result of one request.
struct http_result
{
    http_outcome outcome = http_outcome::lost;
    core::result_code code = core::result_code::ok;
    /// Why there is no response; empty when answered.
    std::string text;
    http_response response;
};

/// Options of an http_client.
struct http_client_options
{
    /// Largest response body, in bytes; a larger one is an error.
    std::size_t body_limit = std::size_t{16} << 20;
    /// Idle connections kept per peer and pool shard (threads are hashed to
    /// shards); 0 opens one connection per request.
    std::size_t idle_connections = 8;
    /// Connections idle for longer are not reused. Must be well below the
    /// peer's keep-alive timeout, because a request written to a connection
    /// that the peer has just closed is lost.
    core::duration idle_timeout = std::chrono::milliseconds(250);
};

/// Sends HTTP/1.1 requests to numeric IPv4 endpoints and blocks until they
/// end.
///
/// Use one per process and share it between threads. Connecting to an
/// unresponsive peer fails after 10 s, which CivetWeb fixes. The request's
/// `timeout` applies to the response header only; a stalled body fails after
/// 30 s.
class http_client
{
public:
    explicit http_client(http_client_options options = {});
    ~http_client();

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends one request and waits for the complete response.
    ///
    /// @param timeout Limit for receiving the response header.
    /// @param may_retry True for an idempotent request. It is then retried on
    /// a new connection if it fails on a reused one.
    http_result request(core::endpoint const& peer,
                        http_request const& content,
                        core::duration timeout,
                        bool may_retry = false);

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace turmericswitch::web

#endif
