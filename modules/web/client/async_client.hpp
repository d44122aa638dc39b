#ifndef TURMERICSWITCH_WEB_CLIENT_ASYNC_CLIENT_HPP
#define TURMERICSWITCH_WEB_CLIENT_ASYNC_CLIENT_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "transport/io/io_pool.hpp"
#include "web/client/http_client.hpp"
#include "web/message/http_message.hpp"

#include <functional>
#include <memory>

namespace turmericswitch::web
{

struct async_client_options
{
    /// Largest body of an answer.
    std::size_t body_limit = std::size_t{4} << 20;
    /// Connections kept open for the next request.
    std::size_t idle_connections = 16;
    /// Requests in progress at once; further ones wait for their turn.
    std::size_t max_connections = 8;
};

/// HTTP/1.1 client of one peer that holds no thread while it waits.
///
/// Use it where calls may stay unanswered for long; `http_client` holds a
/// thread for each. Requests must be idempotent: one that fails on a kept
/// connection before any byte of its answer is sent again on a new one.
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

    /// @param timeout From now to the whole answer, connecting included.
    /// @param done Called once, on a thread of the pool.
    void
    request(http_request const& content, core::duration timeout, callback done);

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::web

#endif
