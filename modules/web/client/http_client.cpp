#include "web/client/http_client.hpp"

#include "core/results/last_reason.hpp"
#include "web/client/connection_pool.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace turmericswitch::web
{

using core::result_code;

namespace
{

constexpr std::size_t read_chunk_bytes = 65536;

http_result failure(http_outcome outcome, result_code code, std::string text)
{
    return {outcome, code, std::move(text), {}};
}

std::string to_text(core::endpoint const& peer, http_request const& content)
{
    std::string message = content.method + " " + content.target +
                          " HTTP/1.1\r\nHost: " + core::to_string(peer) +
                          "\r\n";
    for (auto const& field : content.fields)
    {
        if (!is_connection_field(field.name) &&
            !equal_ignoring_case(field.name, "Host"))
        {
            message.append(field.name).append(": ").append(field.value);
            message += "\r\n";
        }
    }
    message += "Content-Length: " + std::to_string(content.body.size()) +
               "\r\nConnection: keep-alive\r\n\r\n";
    return message + content.body;
}

bool exceeds_limit(std::string const& body, std::size_t limit)
{
    if (body.size() <= limit)
    {
        return false;
    }
    core::fail(result_code::backend_failed, "the response is too large");
    return true;
}

// Reads `length` bytes or, for a chunked body without a length, up to the last
// chunk.
bool read_body(mg_connection* connection,
               std::optional<std::uint64_t> length,
               std::size_t limit,
               std::string& body)
{
    std::vector<char> chunk(read_chunk_bytes);
    while (!length || body.size() < *length)
    {
        int const size = mg_read(connection, chunk.data(), chunk.size());
        if (size == 0 && !length)
        {
            return true;
        }
        if (size <= 0)
        {
            return core::fail_bool(result_code::backend_failed,
                                   "the response is incomplete");
        }
        body.append(chunk.data(), static_cast<std::size_t>(size));
        if (exceeds_limit(body, limit))
        {
            return false;
        }
    }
    return true;
}

std::optional<std::uint64_t> content_length(http_response const& response)
{
    std::string const* const text =
        find_field(response.fields, "Content-Length");
    std::uint64_t length = 0;
    if (text == nullptr || text->empty() ||
        std::from_chars(text->data(), text->data() + text->size(), length)
                .ptr != text->data() + text->size())
    {
        return core::fail(result_code::backend_failed,
                          "the response has no valid Content-Length");
    }
    return length;
}

bool is_chunked(http_response const& response)
{
    std::string const* const encoding =
        find_field(response.fields, "Transfer-Encoding");
    return encoding != nullptr && equal_ignoring_case(*encoding, "chunked");
}

bool has_no_body(std::string const& method, int status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

http_response read_head(mg_response_info const& info)
{
    http_response response;
    response.status = static_cast<std::uint16_t>(info.status_code);
    for (int i = 0; i < info.num_headers; ++i)
    {
        response.fields.push_back(
            {info.http_headers[i].name, info.http_headers[i].value});
    }
    return response;
}

} // namespace

class http_client::state
{
public:
    explicit state(http_client_options const& options)
        : m_options(options),
          m_pool(options.idle_connections, options.idle_timeout)
    {
        static unsigned const features = mg_init_library(MG_FEATURES_DEFAULT);
        static_cast<void>(features);
    }

    http_result request(core::endpoint const& peer,
                        http_request const& content,
                        core::duration timeout,
                        bool may_retry)
    {
        bool may_have_run = false;
        if (auto idle = m_pool.take(peer))
        {
            http_result result =
                exchange(peer, std::move(idle), content, timeout);
            if (result.outcome == http_outcome::answered || !may_retry)
            {
                return result;
            }
            may_have_run = true;
        }
        std::array<char, 256> error{};
        connection_pointer new_connection(mg_connect_client(
            peer.address.c_str(), peer.port, 0, error.data(), error.size()));
        if (!new_connection)
        {
            return failure(may_have_run ? http_outcome::lost
                                        : http_outcome::not_sent,
                           result_code::peer_unreachable,
                           core::to_string(peer) + ": " + error.data());
        }
        return exchange(peer, std::move(new_connection), content, timeout);
    }

private:
    http_result exchange(core::endpoint const& peer,
                         connection_pointer connection,
                         http_request const& content,
                         core::duration timeout)
    {
        std::string const message = to_text(peer, content);
        if (mg_write(connection.get(), message.data(), message.size()) !=
            static_cast<int>(message.size()))
        {
            return failure(http_outcome::lost,
                           result_code::outcome_unknown,
                           "writing the request failed");
        }
        http_result result = receive(connection.get(), content, timeout);
        if (result.outcome == http_outcome::answered &&
            is_keep_alive(result.response))
        {
            m_pool.give_back(peer, std::move(connection));
        }
        return result;
    }

    http_result receive(mg_connection* connection,
                        http_request const& content,
                        core::duration timeout) const
    {
        auto const limit = std::max<std::int64_t>(
            1,
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
                .count());
        std::array<char, 256> error{};
        int const head = mg_get_response(
            connection, error.data(), error.size(), static_cast<int>(limit));
        mg_response_info const* const info = mg_get_response_info(connection);
        if (head < 0 || info == nullptr)
        {
            return failure(
                http_outcome::lost, result_code::outcome_unknown, error.data());
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.response = read_head(*info);
        if (!read_response_body(connection, content.method, result.response))
        {
            auto const& [code, text] = core::last_reason();
            return failure(http_outcome::lost, code, text);
        }
        return result;
    }

    bool read_response_body(mg_connection* connection,
                            std::string const& method,
                            http_response& response) const
    {
        if (has_no_body(method, response.status))
        {
            return true;
        }
        std::optional<std::uint64_t> length;
        if (!is_chunked(response))
        {
            length = content_length(response);
            if (!length)
            {
                return false;
            }
        }
        return read_body(
            connection, length, m_options.body_limit, response.body);
    }

    static bool is_keep_alive(http_response const& response)
    {
        std::string const* const connection_field =
            find_field(response.fields, "Connection");
        return connection_field == nullptr ||
               !equal_ignoring_case(*connection_field, "close");
    }

    http_client_options m_options;
    connection_pool m_pool;
};

http_client::http_client(http_client_options options)
    : m_state(std::make_unique<state>(options))
{
}

http_client::~http_client() = default;

http_result http_client::request(core::endpoint const& peer,
                                 http_request const& content,
                                 core::duration timeout,
                                 bool may_retry)
{
    return m_state->request(peer, content, timeout, may_retry);
}

} // namespace turmericswitch::web
