#include "transport/session/client_connection.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <vector>

namespace turmericswitch::transport
{

using core::result_code;

client_connection::client_connection(
    boost::asio::ip::tcp::socket socket,
    connection_options const& options,
    std::shared_ptr<traffic_counters> counters,
    std::function<void(client_connection*)> unusable)
    : http2_connection(std::move(socket), options, std::move(counters)),
      m_unusable(std::move(unusable))
{
    open_session(role::client);
}

bool client_connection::submit(call_pointer const& call)
{
    header_list headers{
        {":method", "POST"},
        {":scheme", "http"},
        {":path", call->path},
        {":authority", "peer"},
        {"x-protocol-version", std::to_string(options().protocol_version)},
    };
    if (options().keepalive_interval > connection_options{}.keepalive_interval)
    {
        headers.emplace_back(
            keepalive_header,
            std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                               options().keepalive_interval)
                               .count()));
    }
    auto const list = to_nghttp2(headers);
    auto const provider = body_provider();
    std::int32_t const stream = nghttp2_submit_request(
        session(), nullptr, list.data(), list.size(), &provider, nullptr);
    if (stream < 0)
    {
        report_unusable();
        return false;
    }
    m_calls.emplace(stream, call);
    flush();
    return true;
}

void client_connection::cancel(pending_call const& call)
{
    auto const found = std::find_if(m_calls.begin(),
                                    m_calls.end(),
                                    [&call](auto const& entry)
                                    { return entry.second.get() == &call; });
    if (found == m_calls.end())
    {
        return;
    }
    nghttp2_submit_rst_stream(
        session(), NGHTTP2_FLAG_NONE, found->first, NGHTTP2_CANCEL);
    m_calls.erase(found);
    flush();
}

void client_connection::on_header(std::int32_t stream,
                                  std::string_view name,
                                  std::string_view value)
{
    pending_call* const call = find(stream);
    if (call != nullptr && name == "x-result-code")
    {
        std::from_chars(
            value.data(), value.data() + value.size(), call->answer_code);
    }
}

void client_connection::on_data(std::int32_t stream, std::string_view bytes)
{
    pending_call* const call = find(stream);
    if (call == nullptr)
    {
        return;
    }
    if (call->answer.size() + bytes.size() > options().body_limit)
    {
        nghttp2_submit_rst_stream(
            session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        take(stream)->fail(result_code::message_too_large,
                           "the answer is too large");
        return;
    }
    call->answer.append(bytes);
}

void client_connection::on_end(std::int32_t stream)
{
    call_pointer const call = take(stream);
    if (!call)
    {
        return;
    }
    auto const code = core::result_code_from_number(call->answer_code);
    bool const answered = code == result_code::ok;
    call->finish(answered ? call_outcome::answered : call_outcome::not_sent,
                 code.value_or(result_code::not_run),
                 std::move(call->answer));
}

void client_connection::on_headers_sent(std::int32_t stream)
{
    if (pending_call* const call = find(stream))
    {
        call->headers_sent = true;
    }
}

void client_connection::on_end_sent(std::int32_t) {}

void client_connection::on_stream_closed(std::int32_t stream,
                                         std::uint32_t error)
{
    call_pointer const call = take(stream);
    if (!call)
    {
        return;
    }
    if (error == NGHTTP2_REFUSED_STREAM)
    {
        call->finish(call_outcome::not_sent,
                     result_code::draining,
                     "the peer refused the stream");
        return;
    }
    call->fail(result_code::outcome_unknown, "the peer reset the stream");
}

void client_connection::on_goaway()
{
    report_unusable();
}

void client_connection::on_disconnected()
{
    report_unusable();
    auto const calls = std::exchange(m_calls, {});
    std::vector<std::int32_t> order;
    order.reserve(calls.size());
    for (auto const& [stream, call] : calls)
    {
        order.push_back(stream);
    }
    std::sort(order.begin(), order.end());
    for (std::int32_t const stream : order)
    {
        calls.at(stream)->fail(result_code::peer_unreachable,
                               "the connection ended");
    }
}

std::string const* client_connection::outgoing_body(std::int32_t stream)
{
    pending_call const* const call = find(stream);
    return call == nullptr ? nullptr : &call->body;
}

std::size_t& client_connection::outgoing_offset(std::int32_t stream)
{
    return m_calls.at(stream)->offset;
}

pending_call* client_connection::find(std::int32_t stream)
{
    auto const found = m_calls.find(stream);
    return found == m_calls.end() ? nullptr : found->second.get();
}

call_pointer client_connection::take(std::int32_t stream)
{
    auto const node = m_calls.extract(stream);
    return node.empty() ? nullptr : node.mapped();
}

void client_connection::report_unusable()
{
    m_unusable(this);
}

} // namespace turmericswitch::transport
