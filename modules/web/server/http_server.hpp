#ifndef TURMERICSWITCH_WEB_SERVER_HTTP_SERVER_HPP
#define TURMERICSWITCH_WEB_SERVER_HTTP_SERVER_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "web/message/http_message.hpp"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <vector>

namespace turmericswitch::web
{

/// Called on a worker thread of the server; may block.
using http_handler = std::function<http_response(http_request const&)>;

/// Options of an http_server.
struct server_options
{
    /// IPv4 address; port 0 selects a free port.
    core::endpoint listen_on;
    /// Additional addresses; their ports must not be 0.
    std::vector<core::endpoint> also_listen_on;
    /// Every open connection occupies one worker thread, an idle keep-alive
    /// connection for at most `keep_alive`.
    unsigned worker_threads = 32;
    /// While more connections than this are open, each is closed after its
    /// response. Set it below `worker_threads` where many callers send few
    /// requests each; otherwise their idle connections occupy all threads.
    unsigned max_keep_alive_connections = std::numeric_limits<unsigned>::max();
    /// Largest number of accepted connections that wait for a thread.
    unsigned connection_queue_limit = 64;
    /// Largest request body, in bytes.
    std::size_t body_limit = std::size_t{16} << 20;
    /// Largest request line and header together, in bytes.
    std::size_t header_limit = 16384;
    /// A connection is closed after waiting this long for more bytes of a
    /// request.
    core::duration read_timeout = std::chrono::seconds(10);
    /// An idle connection is closed after this time.
    core::duration keep_alive = std::chrono::seconds(5);
};

/// Result of http_server::stop().
struct stop_summary
{
    /// Requests in progress when the stop began; all have been completed.
    std::size_t finished = 0;
    /// Requests that arrived later and were refused without running.
    std::size_t refused = 0;
};

/// HTTP/1.1 server based on CivetWeb and its threads.
///
/// Requests that are malformed, incomplete or too large get a 4xx response with
/// a result code and never reach the handler.
class http_server
{
public:
    /// Starts to listen.
    ///
    /// @return The server, or null; last_reason() then has address_in_use.
    static std::unique_ptr<http_server> start(server_options const& options,
                                              http_handler handler);

    /// Calls stop().
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// @return `listen_on` with the port in use, also when it was 0.
    core::endpoint bound() const;

    /// Refuses new requests with the code draining, waits for those in
    /// progress and closes the ports. A second call returns the same summary.
    /// Must not be called from the handler.
    stop_summary stop();

    /// @return The number of requests that have arrived and have no complete
    /// response yet.
    std::size_t in_progress() const;

private:
    class state;
    explicit http_server(std::unique_ptr<state> server_state);

    std::unique_ptr<state> m_state;
};

} // namespace turmericswitch::web

#endif
