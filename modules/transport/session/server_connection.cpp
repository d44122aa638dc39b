#include "transport/session/server_connection.hpp"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <charconv>
#include <exception>

namespace turmericswitch::transport
{

using core::result_code;

server_connection::server_connection(boost::asio::ip::tcp::socket socket,
                                     std::shared_ptr<server_context> context)
    : http2_connection(std::move(socket),
                       context->options,
                       std::make_shared<traffic_counters>()),
      m_context(std::move(context))
{
    open_session(role::server);
}

void server_connection::begin_shutdown()
{
    if (m_stopping || closed())
    {
        return;
    }
    m_stopping = true;
    nghttp2_submit_goaway(session(),
                          NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()),
                          NGHTTP2_NO_ERROR,
                          nullptr,
                          0);
    flush();
}

void server_connection::on_header(std::int32_t stream,
                                  std::string_view name,
                                  std::string_view value)
{
    // The client ends streams above the last one named in the GOAWAY as
    // not_sent, so a stream that begins after the GOAWAY was composed must
    // not reach the handler.
    if (m_stopping && !m_calls.contains(stream))
    {
        return;
    }
    call& entry = m_calls[stream];
    entry.header_bytes += name.size() + value.size();
    if (entry.header_bytes > max_header_bytes)
    {
        reset(stream);
        return;
    }
    if (name == ":path")
    {
        entry.request.path = value;
    }
    else if (name == "x-protocol-version")
    {
        entry.version = value;
    }
    else if (name == keepalive_header)
    {
        unsigned seconds = 0;
        std::from_chars(value.data(), value.data() + value.size(), seconds);
        raise_keepalive_interval(std::min<core::duration>(
            std::chrono::seconds(seconds), max_keepalive_interval));
    }
}

void server_connection::on_data(std::int32_t stream, std::string_view bytes)
{
    call* const entry = find(stream);
    if (entry == nullptr || entry->answered)
    {
        return;
    }
    auto& body = entry->request.body;
    if (body.size() + bytes.size() > options().body_limit)
    {
        body = {};
        submit(stream,
               *entry,
               {result_code::message_too_large,
                "the body is larger than " +
                    std::to_string(options().body_limit) + " bytes"});
        return;
    }
    body.append(bytes);
}

void server_connection::on_end(std::int32_t stream)
{
    call* const entry = find(stream);
    if (entry == nullptr)
    {
        return;
    }
    entry->complete = true;
    if (!entry->answered)
    {
        dispatch(stream, *entry);
    }
}

bool server_connection::version_matches(call const& entry) const
{
    return entry.version == std::to_string(options().protocol_version);
}

void server_connection::dispatch(std::int32_t stream, call& entry)
{
    if (!version_matches(entry))
    {
        std::string const text = "refused call: protocol version " +
                                 entry.version + ", expected " +
                                 std::to_string(options().protocol_version);
        if (m_context->log)
        {
            m_context->log(text);
        }
        submit(stream, entry, {result_code::version_unknown, text});
        return;
    }
    if (entry.request.path.size() > max_path_bytes)
    {
        submit(stream,
               entry,
               {result_code::message_malformed, "the path is too long"});
        return;
    }
    ++m_context->open_calls;
    auto send_answer = [context = m_context,
                        weak = weak_from_this(),
                        executor = socket().get_executor(),
                        stream](std::optional<rpc_answer> value)
    {
        --context->open_calls;
        boost::asio::dispatch(
            executor,
            [weak, stream, value = std::move(value)]() mutable
            {
                if (auto const self = weak.lock())
                {
                    static_cast<server_connection&>(*self).respond(
                        stream, std::move(value));
                }
            });
    };
    // Moved out first, because the handler may answer at once, which can
    // erase the entry.
    rpc_request request = std::move(entry.request);
    auto const path = request.path;
    try
    {
        m_context->handler(std::move(request),
                           responder(std::move(send_answer)));
    }
    catch (std::exception const& error)
    {
        // The call may have been processed in part. Its responder is destroyed
        // without an answer, which tells the caller that the call is lost.
        if (m_context->log)
        {
            m_context->log("handler of " + path + " failed: " + error.what());
        }
    }
}

void server_connection::respond(std::int32_t stream,
                                std::optional<rpc_answer> value)
{
    call* const entry = find(stream);
    if (entry == nullptr || entry->answered || closed())
    {
        return;
    }
    // The call may have been processed, so a missing or too large answer
    // resets the stream (lost) instead of refusing the call (not_sent).
    if (!value || value->body.size() > options().body_limit)
    {
        reset(stream);
    }
    else
    {
        submit(stream, *entry, std::move(*value));
    }
    flush();
}

void server_connection::submit(std::int32_t stream,
                               call& entry,
                               rpc_answer value)
{
    entry.answered = true;
    entry.answer = std::move(value.body);
    bool const is_ok = value.code == result_code::ok;
    header_list const headers{
        {":status", is_ok ? "200" : "400"},
        {"x-result-code", std::to_string(static_cast<unsigned>(value.code))},
    };
    auto const list = to_nghttp2(headers);
    auto const provider = body_provider();
    nghttp2_submit_response(
        session(), stream, list.data(), list.size(), &provider);
}

void server_connection::reset(std::int32_t stream)
{
    m_calls.erase(stream);
    nghttp2_submit_rst_stream(
        session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_INTERNAL_ERROR);
}

void server_connection::on_headers_sent(std::int32_t) {}

void server_connection::on_end_sent(std::int32_t stream)
{
    // Stops a client that is still sending the body of a refused call.
    if (call const* const entry = find(stream);
        entry != nullptr && !entry->complete)
    {
        nghttp2_submit_rst_stream(
            session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_NO_ERROR);
    }
}

void server_connection::on_stream_closed(std::int32_t stream, std::uint32_t)
{
    m_calls.erase(stream);
}

void server_connection::on_goaway() {}

void server_connection::on_disconnected()
{
    m_calls.clear();
    m_context->closed(this);
}

std::string const* server_connection::outgoing_body(std::int32_t stream)
{
    call const* const entry = find(stream);
    return entry == nullptr ? nullptr : &entry->answer;
}

std::size_t& server_connection::outgoing_offset(std::int32_t stream)
{
    return m_calls.at(stream).offset;
}

server_connection::call* server_connection::find(std::int32_t stream)
{
    auto const found = m_calls.find(stream);
    return found == m_calls.end() ? nullptr : &found->second;
}

} // namespace turmericswitch::transport
