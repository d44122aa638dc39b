#ifndef TURMERICSWITCH_TRANSPORT_RPC_RPC_CLIENT_HPP
#define TURMERICSWITCH_TRANSPORT_RPC_RPC_CLIENT_HPP

#include "core/hooks/random_source.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "transport/io/io_pool.hpp"
#include "transport/rpc/rpc_limits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace turmericswitch::transport
{

/// Whether the peer processed a call that has ended.
enum class call_outcome
{
    /// The peer processed the call; the body is the complete answer.
    answered,
    /// The peer certainly did not process the call.
    not_sent,
    /// The peer may or may not have processed the call.
    lost,
};

/// Result of one call.
struct call_result
{
    call_outcome outcome = call_outcome::lost;
    /// `ok` if answered, else the reason.
    core::result_code code = core::result_code::ok;
    /// The answer, or the text that explains `code`.
    std::string body;
};

using call_callback = std::function<void(call_result)>;

/// Options of an rpc_client.
struct client_options
{
    connection_options connection;
    core::duration connect_timeout = std::chrono::seconds(2);
    /// Full-jitter backoff between connection attempts: upper bound of the
    /// first delay, and largest upper bound.
    core::duration backoff_base = std::chrono::milliseconds(20);
    core::duration backoff_cap = std::chrono::seconds(2);
    /// Draws the backoff delays; called by one thread at a time.
    core::random_source random;
};

/// Bytes on the wire, HTTP/2 framing included, for accounting of the link
/// between regions.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Client for calls to one peer over one connection.
///
/// Use one per peer process and share it between threads. It connects on the
/// first call. During the backoff after a failed connect, calls end at once as
/// not_sent.
class rpc_client
{
public:
    /// @param peer Numeric address and port.
    rpc_client(io_pool& io, core::endpoint peer, client_options options);
    /// Ends open calls and waits for their callbacks; on an io thread it
    /// returns before they ran.
    ~rpc_client();

    rpc_client(rpc_client const&) = delete;
    rpc_client& operator=(rpc_client const&) = delete;

    /// Sends a call; thread-safe.
    ///
    /// @param path Starts with a slash, for example "/attempt".
    /// @param timeout When it expires, the stream is reset and the call ends
    /// with timed_out: as not_sent if nothing was written, else as lost.
    /// @param done Called exactly once on an io thread; must not block.
    void call(std::string path,
              std::string body,
              core::duration timeout,
              call_callback done);

    /// @return Bytes of all connections so far.
    traffic transferred() const;

    /// @return The address and port of the peer.
    core::endpoint const& peer() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::transport

#endif
