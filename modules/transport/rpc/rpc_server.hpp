#ifndef TURMERICSWITCH_TRANSPORT_RPC_RPC_SERVER_HPP
#define TURMERICSWITCH_TRANSPORT_RPC_RPC_SERVER_HPP

#include "core/types/ids.hpp"
#include "transport/io/io_pool.hpp"
#include "transport/rpc/responder.hpp"
#include "transport/rpc/rpc_limits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace turmericswitch::transport
{

/// One call with its complete body.
struct rpc_request
{
    std::string path;
    std::string body;
};

/// Runs on a thread of the io_pool and must not block.
using rpc_handler = std::function<void(rpc_request, responder)>;

/// Called from io threads with one line per call refused for its protocol
/// version.
using log_hook = std::function<void(std::string const&)>;

/// Accepts connections and passes their calls to a handler.
///
/// Use one per listening port. The handler may still run until the destructor
/// has returned, but not after.
class rpc_server
{
public:
    /// @param listen_on Numeric address; port 0 selects a free port.
    /// @return Null on failure; last_reason() has address_in_use.
    static std::unique_ptr<rpc_server> listen(io_pool& io,
                                              core::endpoint const& listen_on,
                                              rpc_handler handler,
                                              connection_options options = {},
                                              log_hook log = {});

    /// Closes all connections. Call stop_accepting() and wait for drained()
    /// first when open calls must finish.
    ~rpc_server();

    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /// @return The listening address with the actual port.
    core::endpoint bound() const;

    /// Closes the listening socket and sends GOAWAY; open calls finish, and
    /// later calls end as not_sent in the client.
    void stop_accepting();

    /// @return True after stop_accepting() once every answer was written and
    /// every connection is closed.
    bool drained() const;

    /// @return Calls handed to the handler and not yet answered or reset.
    std::size_t open_calls() const;

private:
    class state;
    explicit rpc_server(std::shared_ptr<state> shared);

    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::transport

#endif
