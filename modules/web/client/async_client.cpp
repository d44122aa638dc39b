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

struct connection
{
    explicit connection(boost::asio::any_io_executor const& strand)
        : stream(strand)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// One request and its progress.
struct exchange
{
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::chrono::steady_clock::time_point deadline;
    async_client::callback done;
    std::shared_ptr<connection> on;
    bool may_repeat = true;
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

    void
    request(http_request const& content, core::duration timeout, callback done)
    {
        auto const one = std::make_shared<exchange>();
        one->request = to_beast(content, m_peer);
        one->deadline = std::chrono::steady_clock::now() + timeout;
        one->done = std::move(done);
        boost::asio::post(
            m_strand, [self = shared_from_this(), one] { self->begin(one); });
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
    using pointer = std::shared_ptr<exchange>;

    void begin(pointer const& one)
    {
        if (m_open >= m_options.open_connections)
        {
            m_waiting.push_back(one);
            return;
        }
        ++m_open;
        if (!m_idle.empty())
        {
            one->on = std::move(m_idle.back());
            m_idle.pop_back();
            send(one);
            return;
        }
        one->may_repeat = false;
        connect(one);
    }

    void connect(pointer const& one)
    {
        boost::system::error_code error;
        auto const address =
            boost::asio::ip::make_address(m_peer.address, error);
        if (error)
        {
            fail(one, http_outcome::not_sent, error.message());
            return;
        }
        one->on = std::make_shared<connection>(m_strand);
        one->on->stream.expires_at(one->deadline);
        one->on->stream.async_connect(
            tcp::endpoint(address, m_peer.port),
            [self = shared_from_this(), one](boost::system::error_code failure)
            {
                if (failure)
                {
                    self->fail(one, http_outcome::not_sent, failure.message());
                    return;
                }
                boost::system::error_code ignored;
                one->on->stream.socket().set_option(tcp::no_delay(true),
                                                    ignored);
                self->send(one);
            });
    }

    void send(pointer const& one)
    {
        one->on->stream.expires_at(one->deadline);
        http::async_write(one->on->stream,
                          one->request,
                          [self = shared_from_this(),
                           one](boost::system::error_code failure, std::size_t)
                          {
                              if (failure)
                              {
                                  self->broken(one, failure);
                                  return;
                              }
                              self->receive(one);
                          });
    }

    void receive(pointer const& one)
    {
        one->parser.emplace();
        one->parser->body_limit(m_options.body_limit);
        http::async_read(one->on->stream,
                         one->on->buffer,
                         *one->parser,
                         [self = shared_from_this(),
                          one](boost::system::error_code failure, std::size_t)
                         {
                             if (failure)
                             {
                                 self->broken(one, failure);
                                 return;
                             }
                             self->finish(one);
                         });
    }

    void broken(pointer const& one, boost::system::error_code failure)
    {
        bool const is_stale = one->may_repeat &&
                              failure != beast::error::timeout &&
                              !(one->parser && one->parser->got_some());
        if (is_stale)
        {
            one->may_repeat = false;
            connect(one);
            return;
        }
        fail(one, http_outcome::lost, failure.message());
    }

    void finish(pointer const& one)
    {
        auto used = std::move(one->on);
        bool const may_keep = one->parser->get().keep_alive() && !m_closed &&
                              m_idle.size() < m_options.idle_connections;
        if (may_keep)
        {
            used->stream.expires_never();
            m_idle.push_back(std::move(used));
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.response = from_beast(one->parser->release());
        one->done(std::move(result));
        begin_next();
    }

    void begin_next()
    {
        --m_open;
        if (!m_waiting.empty())
        {
            auto const next = std::move(m_waiting.front());
            m_waiting.pop_front();
            begin(next);
        }
    }

    void fail(pointer const& one, http_outcome outcome, std::string why)
    {
        one->on.reset();
        http_result result;
        result.outcome = outcome;
        result.code = core::result_code::peer_unreachable;
        result.text = std::move(why);
        one->done(std::move(result));
        begin_next();
    }

    boost::asio::any_io_executor m_strand;
    core::endpoint m_peer;
    async_client_options m_options;
    std::vector<std::shared_ptr<connection>> m_idle;
    std::deque<pointer> m_waiting;
    std::size_t m_open = 0;
    bool m_closed = false;
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
                           callback done)
{
    m_state->request(content, timeout, std::move(done));
}

} // namespace turmericswitch::web
