#include "transport/rpc/rpc_client.hpp"

#include "transport/io/io_pool_state.hpp"
#include "transport/io/run_on_strand.hpp"
#include "transport/session/client_connection.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/strand.hpp>

#include <set>
#include <vector>

namespace turmericswitch::transport
{

using core::result_code;

/// Connects, queues calls and submits them. All private functions run on the
/// strand that the connections of the client share.
class rpc_client::state : public std::enable_shared_from_this<state>
{
public:
    state(io_pool& io, core::endpoint peer, client_options options)
        : m_io(io),
          m_peer(std::move(peer)),
          m_options(std::move(options)),
          m_strand(boost::asio::make_strand(io.internals().context)),
          m_connect_timer(m_strand)
    {
        if (!m_options.random)
        {
            m_options.random = core::seeded_random(m_peer.port);
        }
    }

    void call(std::string path,
              std::string body,
              core::duration timeout,
              call_callback done)
    {
        auto const pending = std::make_shared<pending_call>(m_strand);
        pending->path = std::move(path);
        pending->body = std::move(body);
        pending->done = std::move(done);
        boost::asio::post(m_strand,
                          [self = shared_from_this(), pending, timeout]
                          { self->begin(pending, timeout); });
    }

    void close()
    {
        run_on_strand(
            m_io, m_strand, [self = shared_from_this()] { self->close_all(); });
    }

    traffic transferred() const
    {
        return {m_counters->sent, m_counters->received};
    }

    core::endpoint const& peer() const
    {
        return m_peer;
    }

private:
    using socket = boost::asio::ip::tcp::socket;
    using clock = std::chrono::steady_clock;

    void begin(call_pointer const& pending, core::duration timeout)
    {
        if (m_closed)
        {
            pending->fail(result_code::peer_unreachable,
                          "the client is closed");
            return;
        }
        if (pending->body.size() > m_options.connection.body_limit)
        {
            pending->fail(result_code::message_too_large,
                          "the body is too large");
            return;
        }
        arm_timeout(pending, timeout);
        submit_or_queue(pending);
    }

    void arm_timeout(call_pointer const& pending, core::duration timeout)
    {
        pending->timer.expires_after(timeout);
        pending->timer.async_wait(
            [self = shared_from_this(),
             pending](boost::system::error_code error)
            {
                if (!error && pending->done)
                {
                    self->handle_timeout(pending);
                }
            });
    }

    void handle_timeout(call_pointer const& pending)
    {
        std::erase(m_queue, pending);
        auto const connections = m_connections;
        for (auto const& connection : connections)
        {
            connection->cancel(*pending);
        }
        pending->fail(result_code::timed_out, "the call timed out");
    }

    void submit_or_queue(call_pointer const& pending)
    {
        if (m_current && m_current->submit(pending))
        {
            return;
        }
        if (!m_connecting && clock::now() < m_next_connect)
        {
            pending->fail(result_code::peer_unreachable,
                          "waiting to connect again to " +
                              core::to_string(m_peer));
            return;
        }
        m_queue.push_back(pending);
        if (!m_connecting)
        {
            connect();
        }
    }

    void connect()
    {
        boost::system::error_code error;
        auto const address =
            boost::asio::ip::make_address(m_peer.address, error);
        if (error)
        {
            handle_connect_failure(error.message());
            return;
        }
        m_connecting = std::make_shared<socket>(m_strand);
        m_connect_timer.expires_after(m_options.connect_timeout);
        m_connect_timer.async_wait(
            [attempt = m_connecting](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    boost::system::error_code ignored;
                    attempt->close(ignored);
                }
            });
        m_connecting->async_connect(
            {address, m_peer.port},
            [self = shared_from_this()](boost::system::error_code failure)
            { self->handle_connect(failure); });
    }

    void handle_connect(boost::system::error_code error)
    {
        m_connect_timer.cancel();
        auto const attempt = std::exchange(m_connecting, nullptr);
        if (error || m_closed || !attempt->is_open())
        {
            handle_connect_failure(error ? error.message() : "timed out");
            return;
        }
        m_failed_connects = 0;
        m_current = std::make_shared<client_connection>(
            std::move(*attempt),
            m_options.connection,
            m_counters,
            [weak = weak_from_this()](client_connection* connection)
            {
                if (auto const self = weak.lock())
                {
                    self->handle_unusable(connection);
                }
            });
        m_connections.insert(m_current);
        m_current->start();
        for (auto const& pending : std::exchange(m_queue, {}))
        {
            if (pending->done)
            {
                submit_or_queue(pending);
            }
        }
    }

    void handle_connect_failure(std::string const& reason)
    {
        m_next_connect =
            clock::now() + core::full_jitter(m_options.random,
                                             m_options.backoff_base,
                                             m_options.backoff_cap,
                                             m_failed_connects);
        ++m_failed_connects;
        for (auto const& pending : std::exchange(m_queue, {}))
        {
            pending->fail(result_code::peer_unreachable,
                          core::to_string(m_peer) + ": " + reason);
        }
    }

    void handle_unusable(client_connection* connection)
    {
        if (m_current.get() == connection)
        {
            m_current.reset();
        }
        // An unusable connection stays until its open streams have ended.
        std::erase_if(m_connections,
                      [](auto const& each) { return each->closed(); });
    }

    void close_all()
    {
        m_closed = true;
        if (m_connecting)
        {
            boost::system::error_code ignored;
            m_connecting->close(ignored);
        }
        m_connect_timer.cancel();
        for (auto const& pending : std::exchange(m_queue, {}))
        {
            pending->fail(result_code::peer_unreachable,
                          "the client is closed");
        }
        m_current.reset();
        for (auto const& connection : std::exchange(m_connections, {}))
        {
            connection->close();
        }
    }

    io_pool& m_io;
    core::endpoint m_peer;
    client_options m_options;
    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_connect_timer;
    std::shared_ptr<traffic_counters> m_counters =
        std::make_shared<traffic_counters>();
    std::shared_ptr<client_connection> m_current;
    std::set<std::shared_ptr<client_connection>> m_connections;
    std::shared_ptr<socket> m_connecting;
    std::vector<call_pointer> m_queue;
    clock::time_point m_next_connect{};
    unsigned m_failed_connects = 0;
    bool m_closed = false;
};

rpc_client::rpc_client(io_pool& io, core::endpoint peer, client_options options)
    : m_state(std::make_shared<state>(io, std::move(peer), std::move(options)))
{
}

rpc_client::~rpc_client()
{
    m_state->close();
}

void rpc_client::call(std::string path,
                      std::string body,
                      core::duration timeout,
                      call_callback done)
{
    m_state->call(std::move(path), std::move(body), timeout, std::move(done));
}

traffic rpc_client::transferred() const
{
    return m_state->transferred();
}

core::endpoint const& rpc_client::peer() const
{
    return m_state->peer();
}

} // namespace turmericswitch::transport
