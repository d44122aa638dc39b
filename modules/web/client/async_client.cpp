#include "web/client/async_client.hpp"

#include "transport/io/io_pool_state.hpp"

#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace turmericswitch::web
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Reused connections that are lost in a row before the peer counts as one that
/// closes each connection without saying so. One that has restarted loses one.
constexpr int max_losses_in_a_row = 3;

struct client_connection
{
    explicit client_connection(boost::asio::any_io_executor const& strand)
        : stream(strand)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// State of one request until it is completed.
struct pending_request
{
    http::request<http::string_body> request;
    /// Takes the place of `request` on a new connection.
    std::optional<http::request<http::string_body>> on_new_connection;
    std::optional<http::response_parser<http::string_body>> parser;
    std::chrono::steady_clock::time_point deadline;
    async_client::callback done;
    std::shared_ptr<client_connection> connection;
    lost_request lost = lost_request::retried;
    bool is_reused = true;
    /// True once a connection was lost on which the request was sent.
    bool may_have_run = false;
};

http::request<http::string_body> to_beast(http_request const& content,
                                          core::endpoint const& peer)
{
    http::request<http::string_body> request;
    request.method_string(content.method);
    request.target(content.target);
    request.version(11);
    request.set(http::field::host, core::to_string(peer));
    for (auto const& field : content.fields)
    {
        request.insert(field.name, field.value);
    }
    request.body() = content.body;
    request.prepare_payload();
    return request;
}

http_response from_beast(http::response<http::string_body> response)
{
    http_response converted;
    converted.status = static_cast<std::uint16_t>(response.result_int());
    for (auto const& field : response)
    {
        converted.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    converted.body = std::move(response.body());
    return converted;
}

} // namespace

class async_client::state : public std::enable_shared_from_this<state>
{
public:
    state(transport::io_pool& io,
          core::endpoint peer,
          async_client_options options)
        : m_strand(boost::asio::make_strand(io.internals().context)),
          m_peer(std::move(peer)),
          m_options(options)
    {
    }

    void request(http_request const& content,
                 http_request const* on_new_connection,
                 core::duration timeout,
                 callback done,
                 lost_request lost)
    {
        auto const pending = std::make_shared<pending_request>();
        pending->request = to_beast(content, m_peer);
        if (on_new_connection != nullptr)
        {
            pending->on_new_connection = to_beast(*on_new_connection, m_peer);
        }
        pending->deadline = std::chrono::steady_clock::now() + timeout;
        pending->done = std::move(done);
        pending->lost = lost;
        boost::asio::post(m_strand,
                          [self = shared_from_this(), pending]
                          { self->start(pending); });
    }

    void close()
    {
        boost::asio::post(m_strand,
                          [self = shared_from_this()]
                          {
                              self->m_closed = true;
                              self->m_idle.clear();
                          });
    }

private:
    using pending_pointer = std::shared_ptr<pending_request>;

    void start(pending_pointer const& pending)
    {
        if (m_in_use >= m_options.max_connections)
        {
            m_waiting.push_back(pending);
            return;
        }
        ++m_in_use;
        if (std::chrono::steady_clock::now() >= pending->deadline)
        {
            boost::asio::post(m_strand,
                              [self = shared_from_this(), pending] {
                                  self->fail_to_connect(
                                      pending, "no connection became free");
                              });
            return;
        }
        if (auto connection = take_idle())
        {
            pending->connection = std::move(connection);
            send(pending);
            return;
        }
        pending->is_reused = false;
        connect(pending);
    }

    /// @return A connection that the peer has not closed and on which it has
    ///         sent nothing beyond the earlier responses, or null. A response
    ///         that nobody has requested would be taken for the answer to the
    ///         next request.
    std::shared_ptr<client_connection> take_idle()
    {
        bool const had_idle = !m_idle.empty();
        while (!m_idle.empty())
        {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (is_silent(connection->stream.socket()))
            {
                return connection;
            }
        }
        // Several connections may have been lost at once, by one restart.
        m_losses_in_a_row += had_idle ? 1 : 0;
        return nullptr;
    }

    /// @return True if the peer has neither sent anything nor closed the
    ///         connection. A request that is sent on a closed one gets no
    ///         answer, and may not be repeated.
    static bool is_silent(tcp::socket& socket)
    {
        boost::system::error_code status;
        socket.non_blocking(true, status);
        char byte = 0;
        socket.receive(
            boost::asio::buffer(&byte, 1), tcp::socket::message_peek, status);
        return status == boost::asio::error::would_block;
    }

    static void use_other_content(pending_request& pending)
    {
        if (pending.on_new_connection)
        {
            pending.request = std::move(*pending.on_new_connection);
            pending.on_new_connection.reset();
        }
    }

    void connect(pending_pointer const& pending)
    {
        if (!m_closes_after_response && m_losses_in_a_row < max_losses_in_a_row)
        {
            use_other_content(*pending);
        }
        boost::system::error_code error;
        auto const address =
            boost::asio::ip::make_address(m_peer.address, error);
        if (error)
        {
            fail_to_connect(pending, error.message());
            return;
        }
        pending->connection = std::make_shared<client_connection>(m_strand);
        pending->connection->stream.expires_at(pending->deadline);
        pending->connection->stream.async_connect(
            tcp::endpoint(address, m_peer.port),
            [self = shared_from_this(),
             pending](boost::system::error_code failure)
            {
                if (failure)
                {
                    self->fail_to_connect(pending, failure.message());
                    return;
                }
                boost::system::error_code ignored;
                pending->connection->stream.socket().set_option(
                    tcp::no_delay(true), ignored);
                self->send(pending);
            });
    }

    void send(pending_pointer const& pending)
    {
        pending->connection->stream.expires_at(pending->deadline);
        http::async_write(pending->connection->stream,
                          pending->request,
                          [self = shared_from_this(), pending](
                              boost::system::error_code failure, std::size_t)
                          {
                              if (failure)
                              {
                                  self->handle_io_error(pending, failure);
                                  return;
                              }
                              self->receive(pending);
                          });
    }

    void receive(pending_pointer const& pending)
    {
        pending->parser.emplace();
        pending->parser->body_limit(m_options.body_limit);
        http::async_read(pending->connection->stream,
                         pending->connection->buffer,
                         *pending->parser,
                         [self = shared_from_this(), pending](
                             boost::system::error_code failure, std::size_t)
                         {
                             if (failure)
                             {
                                 self->handle_io_error(pending, failure);
                                 return;
                             }
                             self->handle_response(pending);
                         });
    }

    void handle_response(pending_pointer const& pending)
    {
        auto const status = pending->parser->get().result_int();
        bool const is_interim =
            http::to_status_class(status) == http::status_class::informational;
        if (is_interim)
        {
            receive(pending);
            return;
        }
        complete(pending);
    }

    void handle_io_error(pending_pointer const& pending,
                         boost::system::error_code failure)
    {
        bool const connection_was_closed =
            pending->is_reused && failure != beast::error::timeout &&
            !(pending->parser && pending->parser->got_some());
        if (connection_was_closed && pending->lost == lost_request::retried)
        {
            pending->is_reused = false;
            pending->may_have_run = true;
            ++m_losses_in_a_row;
            if (m_losses_in_a_row < max_losses_in_a_row)
            {
                use_other_content(*pending);
            }
            connect(pending);
            return;
        }
        if (connection_was_closed)
        {
            // The peer has probably closed the others too.
            m_idle.clear();
        }
        if (failure == beast::error::timeout)
        {
            // All open connections may have fallen silent without a reset, also
            // one that was answered on while this request waited.
            m_idle.clear();
        }
        fail(pending, http_outcome::lost, failure.message());
    }

    void complete(pending_pointer const& pending)
    {
        auto connection = std::move(pending->connection);
        if (pending->is_reused)
        {
            m_losses_in_a_row = 0;
        }
        bool const is_kept_alive = pending->parser->get().keep_alive();
        // A peer that closes a connection after several responses may be about
        // to end.
        m_closes_after_response = !is_kept_alive && !pending->is_reused;
        bool const keep_open = is_kept_alive && !m_closed &&
                               connection->buffer.size() == 0 &&
                               m_idle.size() < m_options.idle_connections;
        if (keep_open)
        {
            connection->stream.expires_never();
            m_idle.push_back(std::move(connection));
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.response = from_beast(pending->parser->release());
        pending->done(std::move(result));
        start_next();
    }

    void start_next()
    {
        --m_in_use;
        if (!m_waiting.empty())
        {
            auto const next = std::move(m_waiting.front());
            m_waiting.pop_front();
            start(next);
        }
    }

    void fail_to_connect(pending_pointer const& pending, std::string text)
    {
        auto const outcome =
            pending->may_have_run ? http_outcome::lost : http_outcome::not_sent;
        fail(pending, outcome, std::move(text));
    }

    void
    fail(pending_pointer const& pending, http_outcome outcome, std::string text)
    {
        pending->connection.reset();
        http_result result;
        result.outcome = outcome;
        result.code = core::result_code::peer_unreachable;
        result.text = std::move(text);
        pending->done(std::move(result));
        start_next();
    }

    boost::asio::any_io_executor m_strand;
    core::endpoint m_peer;
    async_client_options m_options;
    std::vector<std::shared_ptr<client_connection>> m_idle;
    std::deque<pending_pointer> m_waiting;
    std::size_t m_in_use = 0;
    bool m_closed = false;
    /// True if the last response was the only one on its connection.
    bool m_closes_after_response = false;
    /// Reused connections lost since a request was answered on one.
    int m_losses_in_a_row = 0;
};

async_client::async_client(transport::io_pool& io,
                           core::endpoint peer,
                           async_client_options options)
    : m_state(std::make_shared<state>(io, std::move(peer), options))
{
}

async_client::~async_client()
{
    m_state->close();
}

void async_client::request(http_request const& content,
                           core::duration timeout,
                           callback done,
                           lost_request lost)
{
    m_state->request(content, nullptr, timeout, std::move(done), lost);
}

void async_client::request_on_open_connection(http_request const& content,
                                              http_request const& otherwise,
                                              core::duration timeout,
                                              callback done)
{
    m_state->request(
        content, &otherwise, timeout, std::move(done), lost_request::retried);
}

} // namespace turmericswitch::web
