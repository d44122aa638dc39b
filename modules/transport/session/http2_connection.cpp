#include "transport/session/http2_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace turmericswitch::transport
{

namespace
{

http2_connection& connection_from(void* user)
{
    return *static_cast<http2_connection*>(user);
}

std::string_view to_string_view(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

} // namespace

/// Forwards nghttp2's C callbacks to the virtual functions of the connection.
struct session_callbacks
{
    static int header(nghttp2_session*,
                      nghttp2_frame const* frame,
                      std::uint8_t const* name,
                      std::size_t name_size,
                      std::uint8_t const* value,
                      std::size_t value_size,
                      std::uint8_t,
                      void* user)
    {
        connection_from(user).on_header(frame->hd.stream_id,
                                        to_string_view(name, name_size),
                                        to_string_view(value, value_size));
        return 0;
    }

    static int data(nghttp2_session*,
                    std::uint8_t,
                    std::int32_t stream,
                    std::uint8_t const* bytes,
                    std::size_t size,
                    void* user)
    {
        connection_from(user).on_data(stream, to_string_view(bytes, size));
        return 0;
    }

    static int
    frame_received(nghttp2_session*, nghttp2_frame const* frame, void* user)
    {
        auto const type = frame->hd.type;
        if (type == NGHTTP2_GOAWAY)
        {
            connection_from(user).on_goaway();
        }
        else if ((type == NGHTTP2_DATA || type == NGHTTP2_HEADERS) &&
                 (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            connection_from(user).on_end(frame->hd.stream_id);
        }
        return 0;
    }

    static int
    frame_sent(nghttp2_session*, nghttp2_frame const* frame, void* user)
    {
        auto const type = frame->hd.type;
        if (type == NGHTTP2_HEADERS)
        {
            connection_from(user).on_headers_sent(frame->hd.stream_id);
        }
        if ((type == NGHTTP2_DATA || type == NGHTTP2_HEADERS) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            connection_from(user).on_end_sent(frame->hd.stream_id);
        }
        return 0;
    }

    static int stream_closed(nghttp2_session*,
                             std::int32_t stream,
                             std::uint32_t error,
                             void* user)
    {
        connection_from(user).on_stream_closed(stream, error);
        return 0;
    }

    static ssize_t read_body(nghttp2_session*,
                             std::int32_t stream,
                             std::uint8_t* to,
                             std::size_t capacity,
                             std::uint32_t* flags,
                             nghttp2_data_source*,
                             void* user)
    {
        auto& self = connection_from(user);
        std::string const* const body = self.outgoing_body(stream);
        if (body == nullptr)
        {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        std::size_t& offset = self.outgoing_offset(stream);
        std::size_t const size = std::min(capacity, body->size() - offset);
        std::copy_n(body->data() + offset, size, to);
        offset += size;
        if (offset == body->size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size);
    }
};

http2_connection::http2_connection(boost::asio::ip::tcp::socket socket,
                                   connection_options const& options,
                                   std::shared_ptr<traffic_counters> counters)
    : m_socket(std::move(socket)),
      m_options(options),
      m_counters(std::move(counters)),
      m_keepalive_timer(m_socket.get_executor()),
      m_linger_timer(m_socket.get_executor())
{
}

http2_connection::~http2_connection()
{
    nghttp2_session_del(m_session);
}

void http2_connection::open_session(role side)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                     session_callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, session_callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, session_callbacks::frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(
        callbacks, session_callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, session_callbacks::stream_closed);
    if (side == role::client)
    {
        // Opens only one stream until the peer's SETTINGS arrive, because
        // streams above its limit could be refused.
        nghttp2_option* option = nullptr;
        nghttp2_option_new(&option);
        nghttp2_option_set_peer_max_concurrent_streams(option, 1);
        nghttp2_session_client_new2(&m_session, callbacks, this, option);
        nghttp2_option_del(option);
    }
    else
    {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
}

void http2_connection::start()
{
    std::array<nghttp2_settings_entry, 4> const settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.stream_limit},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(stream_window_bytes)},
        {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, max_frame_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
         static_cast<std::uint32_t>(max_header_bytes)},
    }};
    nghttp2_submit_settings(
        m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        m_session, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    arm_keepalive();
    read_some();
    flush();
}

void http2_connection::close()
{
    if (m_closed)
    {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_keepalive_timer.cancel();
    m_linger_timer.cancel();
    on_disconnected();
}

void http2_connection::read_some()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_input),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t size)
        {
            if (error)
            {
                self->close();
                return;
            }
            self->handle_input(size);
        });
}

void http2_connection::handle_input(std::size_t size)
{
    if (m_closed)
    {
        return;
    }
    m_counters->received += size;
    m_received_in_interval = true;
    if (!m_lingering)
    {
        m_inside_nghttp2 = true;
        auto const used = nghttp2_session_mem_recv(
            m_session,
            reinterpret_cast<std::uint8_t const*>(m_input.data()),
            size);
        m_inside_nghttp2 = false;
        if (used < 0)
        {
            close();
            return;
        }
        flush();
    }
    if (!m_closed)
    {
        read_some();
    }
}

bool http2_connection::collect_output()
{
    m_output.clear();
    while (m_output.size() < write_batch_bytes)
    {
        std::uint8_t const* data = nullptr;
        auto const size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0)
        {
            return false;
        }
        if (size == 0)
        {
            break;
        }
        m_output.append(to_string_view(data, static_cast<std::size_t>(size)));
    }
    return true;
}

void http2_connection::flush()
{
    // nghttp2 forbids sending from inside its callbacks; handle_input() and
    // the write handler flush afterwards.
    if (m_writing || m_closed || m_inside_nghttp2 || m_lingering)
    {
        return;
    }
    m_inside_nghttp2 = true;
    bool const healthy = collect_output();
    m_inside_nghttp2 = false;
    if (!healthy)
    {
        close();
        return;
    }
    if (m_output.empty())
    {
        begin_linger_if_idle();
        return;
    }
    m_writing = true;
    boost::asio::async_write(
        m_socket,
        boost::asio::buffer(m_output),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t size)
        {
            self->m_writing = false;
            self->m_counters->sent += size;
            if (error)
            {
                self->close();
                return;
            }
            self->flush();
        });
}

void http2_connection::begin_linger_if_idle()
{
    if (nghttp2_session_want_read(m_session) != 0 ||
        nghttp2_session_want_write(m_session) != 0)
    {
        return;
    }
    // Closing with unread input would make the kernel send RST, which can
    // destroy answers that the peer has not read yet. So shut down the sending
    // side and read until the peer closes.
    m_lingering = true;
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_linger_timer.expires_after(m_options.linger);
    m_linger_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->close();
            }
        });
}

void http2_connection::arm_keepalive()
{
    m_keepalive_timer.expires_after(m_options.keepalive_interval);
    m_keepalive_timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            if (auto const self = weak.lock(); self && !error)
            {
                self->handle_keepalive_timer();
            }
        });
}

void http2_connection::handle_keepalive_timer()
{
    if (m_closed)
    {
        return;
    }
    if (m_received_in_interval)
    {
        m_unanswered_probes = 0;
    }
    else if (m_unanswered_probes >= m_options.keepalive_probes)
    {
        close();
        return;
    }
    else
    {
        ++m_unanswered_probes;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
    m_received_in_interval = false;
    arm_keepalive();
}

nghttp2_data_provider http2_connection::body_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = session_callbacks::read_body;
    return provider;
}

std::vector<nghttp2_nv> http2_connection::to_nghttp2(header_list const& headers)
{
    std::vector<nghttp2_nv> list;
    list.reserve(headers.size());
    for (auto const& [name, value] : headers)
    {
        // nghttp2 copies both and never writes through the pointers.
        list.push_back(
            {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
             reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
             name.size(),
             value.size(),
             NGHTTP2_NV_FLAG_NONE});
    }
    return list;
}

} // namespace turmericswitch::transport
