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

/// What is known about a request that ended.
enum class http_outcome
{
    /// The answer is whole.
    answered,
    /// No connection was made, so the peer has not seen the request.
    not_sent,
    /// The request may have run.
    lost,
};

/// End of one request.
struct http_result
{
    http_outcome outcome = http_outcome::lost;
    core::result_code code = core::result_code::ok;
    /// Why there is no answer.
    std::string text;
    http_response response;
};

/// Options of an http_client.
struct http_client_options
{
    /// A larger answer is an error.
    std::size_t body_limit = std::size_t{16} << 20;
    /// Idle connections kept per peer and group of threads; 0 opens one
    /// connection per request.
    std::size_t idle_connections = 8;
    /// Must be well below the peer's keep-alive time, because a request
    /// written to a connection that the peer has just closed is lost.
    core::duration idle_timeout = std::chrono::milliseconds(250);
};

/// Sends HTTP/1.1 requests to numeric IPv4 endpoints and blocks until they
/// end.
///
/// Use one per process and share it between threads. Connecting to a peer
/// that does not answer takes CivetWeb's fixed 10 s, and `timeout` covers the
/// head of the answer; a body that stalls is given up after 30 s.
class http_client
{
public:
    explicit http_client(http_client_options options = {});
    ~http_client();

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends one request and waits for the whole answer.
    ///
    /// @param timeout For the head of the answer.
    /// @param may_retry True for a request that may run twice. It is then
    /// sent again on a new connection if a kept one turns out to be closed.
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
