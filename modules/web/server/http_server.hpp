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

/// Runs on a worker thread of the server and may block it.
using http_handler = std::function<http_response(http_request const&)>;

/// Options of an http_server.
struct server_options
{
    /// IPv4 address; port 0 picks a free port.
    core::endpoint listen_on;
    /// Further addresses; their ports may not be 0.
    std::vector<core::endpoint> also_listen_on;
    /// Every open connection holds one worker thread, an idle kept-alive one
    /// for `keep_alive` at most.
    unsigned worker_threads = 32;
    /// While more connections than this are open, each answer closes its own.
    /// Set it below the number of threads where many callers have few requests
    /// each, or their idle connections lock the others out.
    unsigned max_keep_alive_connections = std::numeric_limits<unsigned>::max();
    /// Connections accepted and waiting for a thread.
    unsigned connection_queue_limit = 64;
    std::size_t body_limit = std::size_t{16} << 20;
    /// Largest request line with headers, in bytes.
    std::size_t header_limit = 16384;
    /// A caller that sends nothing for this long is cut off.
    core::duration read_timeout = std::chrono::seconds(10);
    core::duration keep_alive = std::chrono::seconds(5);
};

/// What a stop did.
struct stop_summary
{
    /// Requests in progress when the stop began; all were finished.
    std::size_t finished = 0;
    /// Requests that came later and were refused as not run.
    std::size_t refused = 0;
};

/// HTTP/1.1 server on CivetWeb's threads.
///
/// Use one per listening port. Requests that are malformed, cut off or too
/// large get a 4xx answer with a result code and never reach the handler.
class http_server
{
public:
    /// @return Null on failure; last_reason() has address_in_use.
    static std::unique_ptr<http_server> start(server_options const& options,
                                              http_handler handler);

    /// Stops as stop() does.
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// @return The address and the port really bound.
    core::endpoint bound() const;

    /// Refuses new requests with the code draining, waits for those in
    /// progress and closes the port. A second call returns the same summary.
    /// Must not be called by the handler.
    stop_summary stop();

    /// @return Requests between their arrival and their answer.
    std::size_t in_progress() const;

private:
    class state;
    explicit http_server(std::unique_ptr<state> server_state);

    std::unique_ptr<state> m_state;
};

} // namespace turmericswitch::web

#endif
