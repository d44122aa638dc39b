#ifndef TURMERICSWITCH_WEB_CLIENT_ASYNC_CLIENT_HPP
#define TURMERICSWITCH_WEB_CLIENT_ASYNC_CLIENT_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "transport/io/io_pool.hpp"
#include "web/client/http_client.hpp"
#include "web/message/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace turmericswitch::web
{

/// Options of an async_client.
struct async_client_options
{
    /// Largest response body, in bytes; a larger one is an error.
    std::size_t body_limit = std::size_t{4} << 20;
    /// Idle connections kept open for later requests.
    std::size_t idle_connections = 16;
    /// Connections in use, and so requests in progress, at once; further
    /// requests are queued.
    std::size_t max_connections = 8;
};

/// What happens to a request if its reused connection ends before the first
/// byte of the response. The peer may have closed it while it was idle, or
/// after it had read the request.
enum class lost_request : std::uint8_t
{
    /// It is retried once on a new connection; for idempotent requests.
    retried,
    /// It fails as `lost`, and all idle connections are closed.
    failed,
};

/// Asynchronous HTTP/1.1 client of one peer.
///
/// Use it where responses may take long; `http_client` blocks a thread for each
/// request. A request that times out closes its connection and all idle ones.
class async_client
{
public:
    using callback = std::function<void(http_result)>;

    async_client(transport::io_pool& io,
                 core::endpoint peer,
                 async_client_options options = {});
    ~async_client();

    async_client(async_client const&) = delete;
    async_client& operator=(async_client const&) = delete;

    /// Sends one request, or queues it while `max_connections` are in use.
    ///
    /// @param timeout From this call to the complete response, including the
    /// time in the queue and for connecting. A request whose time is over when
    /// it leaves the queue ends as `not_sent`.
    /// @param done Called once, on a thread of the pool.
    void request(http_request const& content,
                 core::duration timeout,
                 callback done,
                 lost_request lost = lost_request::retried);

    /// Sends a request that is meant for the process that has answered an
    /// earlier one: on a connection of an earlier answer, or with other content
    /// if there is none. If that connection is lost before the response, the
    /// other content is sent on a new one.
    ///
    /// A peer that closes its connection after each response, whether it says
    /// so or not, gets `content` on a new one, because nothing else can reach
    /// it.
    ///
    /// @param otherwise Content that any process at the peer's address may get;
    ///        idempotent.
    void request_on_open_connection(http_request const& content,
                                    http_request const& otherwise,
                                    core::duration timeout,
                                    callback done);

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::web

#endif
