#include "transport/rpc/rpc_server.hpp"

#include "core/results/last_reason.hpp"
#include "transport/io/io_pool_state.hpp"
#include "transport/io/run_on_strand.hpp"
#include "transport/session/server_connection.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace turmericswitch::transport
{

namespace
{

// A failed accept is usually due to a lack of file descriptors, so an
// immediate retry would fail again.
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

} // namespace

class rpc_server::state : public std::enable_shared_from_this<state>
{
public:
    state(io_pool& io, std::shared_ptr<server_context> context)
        : m_io(io),
          m_strand(boost::asio::make_strand(io.internals().context)),
          m_acceptor(m_strand),
          m_retry_timer(m_strand),
          m_context(std::move(context))
    {
    }

    bool open(core::endpoint const& where)
    {
        boost::system::error_code error;
        auto const address =
            boost::asio::ip::make_address(where.address, error);
        boost::asio::ip::tcp::endpoint const local(address, where.port);
        if (!error)
        {
            m_acceptor.open(local.protocol(), error);
        }
        if (!error)
        {
            m_acceptor.set_option(
                boost::asio::ip::tcp::acceptor::reuse_address(true), error);
        }
        if (!error)
        {
            m_acceptor.bind(local, error);
        }
        if (!error)
        {
            m_acceptor.listen(boost::asio::socket_base::max_listen_connections,
                              error);
        }
        if (error)
        {
            return core::fail_bool(core::result_code::address_in_use,
                                   core::to_string(where) + ": " +
                                       error.message());
        }
        m_bound = {where.address, m_acceptor.local_endpoint().port()};
        return true;
    }

    void start()
    {
        m_context->closed =
            [weak = weak_from_this()](http2_connection* connection)
        {
            if (auto const self = weak.lock())
            {
                std::lock_guard const lock(self->m_mutex);
                self->m_connections.erase(connection);
            }
        };
        boost::asio::post(m_strand,
                          [self = shared_from_this()] { self->accept(); });
    }

    void stop_accepting()
    {
        boost::asio::post(m_strand,
                          [self = shared_from_this()]
                          {
                              self->close_acceptor();
                              self->for_each_connection(
                                  [](server_connection& connection)
                                  { connection.begin_shutdown(); });
                              self->m_stopped = true;
                          });
    }

    void close_all()
    {
        run_on_strand(m_io,
                      m_strand,
                      [self = shared_from_this()] { self->close_acceptor(); });
        for (auto const& entry : connections())
        {
            run_on_strand(m_io,
                          entry->executor(),
                          [entry] { entry->connection->close(); });
        }
    }

    core::endpoint const& bound() const
    {
        return m_bound;
    }

    bool drained() const
    {
        std::lock_guard const lock(m_mutex);
        return m_stopped && m_connections.empty();
    }

    std::size_t open_calls() const
    {
        return m_context->open_calls;
    }

private:
    struct connection_entry
    {
        std::shared_ptr<server_connection> connection;
        boost::asio::any_io_executor strand;

        boost::asio::any_io_executor executor() const
        {
            return strand;
        }
    };

    using entry_pointer = std::shared_ptr<connection_entry>;

    std::vector<entry_pointer> connections() const
    {
        std::lock_guard const lock(m_mutex);
        std::vector<entry_pointer> all;
        for (auto const& [key, entry] : m_connections)
        {
            all.push_back(entry);
        }
        return all;
    }

    template <typename Action>
    void for_each_connection(Action action)
    {
        for (auto const& entry : connections())
        {
            boost::asio::post(entry->strand,
                              [entry, action] { action(*entry->connection); });
        }
    }

    void close_acceptor()
    {
        m_closing = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_retry_timer.cancel();
    }

    void accept()
    {
        if (m_closing)
        {
            return;
        }
        m_acceptor.async_accept(
            boost::asio::make_strand(m_io.internals().context),
            [self = shared_from_this()](boost::system::error_code error,
                                        boost::asio::ip::tcp::socket socket)
            {
                if (self->m_closing)
                {
                    return;
                }
                if (error)
                {
                    self->schedule_accept_retry();
                    return;
                }
                self->add(std::move(socket));
                self->accept();
            });
    }

    void schedule_accept_retry()
    {
        m_retry_timer.expires_after(accept_retry_delay);
        m_retry_timer.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->accept();
                }
            });
    }

    void add(boost::asio::ip::tcp::socket socket)
    {
        boost::asio::any_io_executor const strand = socket.get_executor();
        auto const connection =
            std::make_shared<server_connection>(std::move(socket), m_context);
        {
            std::lock_guard const lock(m_mutex);
            m_connections.emplace(connection.get(),
                                  std::make_shared<connection_entry>(
                                      connection_entry{connection, strand}));
        }
        boost::asio::post(strand, [connection] { connection->start(); });
    }

    io_pool& m_io;
    boost::asio::any_io_executor m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retry_timer;
    std::shared_ptr<server_context> m_context;
    core::endpoint m_bound;
    bool m_closing = false;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::unordered_map<http2_connection*, entry_pointer> m_connections;
};

std::unique_ptr<rpc_server> rpc_server::listen(io_pool& io,
                                               core::endpoint const& listen_on,
                                               rpc_handler handler,
                                               connection_options options,
                                               log_hook log)
{
    auto context = std::make_shared<server_context>();
    context->handler = std::move(handler);
    context->options = options;
    context->log = std::move(log);
    auto shared = std::make_shared<state>(io, std::move(context));
    if (!shared->open(listen_on))
    {
        return nullptr;
    }
    shared->start();
    return std::unique_ptr<rpc_server>(new rpc_server(std::move(shared)));
}

rpc_server::rpc_server(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

rpc_server::~rpc_server()
{
    m_state->close_all();
}

core::endpoint rpc_server::bound() const
{
    return m_state->bound();
}

void rpc_server::stop_accepting()
{
    m_state->stop_accepting();
}

bool rpc_server::drained() const
{
    return m_state->drained();
}

std::size_t rpc_server::open_calls() const
{
    return m_state->open_calls();
}

} // namespace turmericswitch::transport
