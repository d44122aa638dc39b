#include "web/server/request_reader.hpp"

#include "core/results/last_reason.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace turmericswitch::web
{

using core::result_code;

namespace
{

constexpr std::size_t read_chunk_bytes = 65536;

/// How the end of the body is determined; `length` is in bytes.
struct body_framing
{
    bool chunked = false;
    std::uint64_t length = 0;
};

std::size_t count_fields(http_request const& request, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(request.fields.begin(),
                      request.fields.end(),
                      [name](core::http_field const& field)
                      { return equal_ignoring_case(field.name, name); }));
}

std::optional<std::uint64_t> parse_length(std::string const& text)
{
    std::uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, length);
    if (error != std::errc() || stop != end || text.empty())
    {
        return core::fail(result_code::request_malformed,
                          "Content-Length is not a number");
    }
    return length;
}

bool requires_body(std::string const& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

std::optional<body_framing> find_framing(http_request const& request)
{
    std::size_t const lengths = count_fields(request, "Content-Length");
    std::size_t const encodings = count_fields(request, "Transfer-Encoding");
    if (lengths + encodings > 1)
    {
        return core::fail(result_code::request_malformed,
                          "the request has more than one Content-Length or "
                          "Transfer-Encoding field");
    }
    if (encodings == 1)
    {
        if (!equal_ignoring_case(
                *find_field(request.fields, "Transfer-Encoding"), "chunked"))
        {
            return core::fail(
                result_code::request_malformed,
                "the only supported Transfer-Encoding is chunked");
        }
        return body_framing{true, 0};
    }
    if (lengths == 1)
    {
        auto const length =
            parse_length(*find_field(request.fields, "Content-Length"));
        return length ? std::optional(body_framing{false, *length})
                      : std::nullopt;
    }
    if (requires_body(request.method))
    {
        return core::fail(result_code::request_malformed,
                          "Content-Length is missing");
    }
    return body_framing{};
}

std::nullopt_t fail_too_large(std::size_t limit)
{
    return core::fail(result_code::request_too_large,
                      "the body is larger than " + std::to_string(limit) +
                          " bytes");
}

bool read_body(mg_connection* connection,
               body_framing const& framing,
               std::size_t limit,
               std::string& body)
{
    std::vector<char> chunk(
        framing.chunked
            ? read_chunk_bytes
            : std::min<std::uint64_t>(framing.length, read_chunk_bytes));
    while (framing.chunked || body.size() < framing.length)
    {
        int const size = mg_read(connection, chunk.data(), chunk.size());
        if (size == 0 && framing.chunked)
        {
            return true;
        }
        if (size <= 0)
        {
            return core::fail_bool(result_code::request_malformed,
                                   "the body is incomplete");
        }
        body.append(chunk.data(), static_cast<std::size_t>(size));
        if (body.size() > limit)
        {
            fail_too_large(limit);
            return false;
        }
    }
    return true;
}

http_request read_head(mg_request_info const& info)
{
    http_request request;
    request.method = info.request_method;
    request.target =
        info.local_uri_raw != nullptr ? info.local_uri_raw : info.request_uri;
    if (info.query_string != nullptr)
    {
        request.target += "?";
        request.target += info.query_string;
    }
    for (int i = 0; i < info.num_headers; ++i)
    {
        request.fields.push_back(
            {info.http_headers[i].name, info.http_headers[i].value});
    }
    return request;
}

// Sends the interim response, which CivetWeb leaves to the handler.
void continue_if_expected(mg_connection* connection,
                          http_request const& request)
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const* const expect = find_field(request.fields, "Expect");
    if (expect != nullptr && equal_ignoring_case(*expect, "100-continue"))
    {
        mg_write(connection, interim.data(), interim.size());
    }
}

} // namespace

std::optional<http_request> read_request(mg_connection* connection,
                                         std::size_t body_limit)
{
    http_request request = read_head(*mg_get_request_info(connection));
    auto const framing = find_framing(request);
    if (!framing)
    {
        return std::nullopt;
    }
    if (framing->length > body_limit)
    {
        return fail_too_large(body_limit);
    }
    if (framing->chunked || framing->length > 0)
    {
        continue_if_expected(connection, request);
        if (!read_body(connection, *framing, body_limit, request.body))
        {
            return std::nullopt;
        }
    }
    return request;
}

} // namespace turmericswitch::web
