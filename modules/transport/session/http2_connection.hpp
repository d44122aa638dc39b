#ifndef TURMERICSWITCH_TRANSPORT_SESSION_HTTP2_CONNECTION_HPP
#define TURMERICSWITCH_TRANSPORT_SESSION_HTTP2_CONNECTION_HPP

#include "transport/rpc/rpc_limits.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericswitch::transport
{

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Transferred bytes, summed over the connections of one client.
struct traffic_counters
{
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
};

/// One socket with its nghttp2 session; base of the client and server sides.
///
/// All members run on the strand that is the socket's executor.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    http2_connection(boost::asio::ip::tcp::socket socket,
                     connection_options const& options,
                     std::shared_ptr<traffic_counters> counters);
    virtual ~http2_connection();

    http2_connection(http2_connection const&) = delete;
    http2_connection& operator=(http2_connection const&) = delete;

    /// Sends the preface and begins to read.
    void start();
    /// Closes the socket at once and calls on_disconnected(); later calls do
    /// nothing.
    void close();
    /// Writes the output that nghttp2 has queued.
    void flush();

    bool closed() const noexcept
    {
        return m_closed;
    }

protected:
    enum class role
    {
        client,
        server
    };

    void open_session(role side);

    virtual void on_header(std::int32_t stream,
                           std::string_view name,
                           std::string_view value) = 0;
    virtual void on_data(std::int32_t stream, std::string_view bytes) = 0;
    /// The peer has ended its side of the stream.
    virtual void on_end(std::int32_t stream) = 0;
    virtual void on_headers_sent(std::int32_t stream) = 0;
    virtual void on_end_sent(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream, std::uint32_t error) = 0;
    virtual void on_goaway() = 0;
    virtual void on_disconnected() = 0;
    /// @return The complete outgoing body, or null when the stream is unknown.
    virtual std::string const* outgoing_body(std::int32_t stream) = 0;
    /// @return The number of bytes of the outgoing body that nghttp2 has taken;
    /// the caller advances it.
    virtual std::size_t& outgoing_offset(std::int32_t stream) = 0;

    nghttp2_session* session() const noexcept
    {
        return m_session;
    }

    boost::asio::ip::tcp::socket& socket() noexcept
    {
        return m_socket;
    }

    /// Sends keepalives less often, from the next one on.
    void raise_keepalive_interval(core::duration interval)
    {
        m_options.keepalive_interval =
            std::max(m_options.keepalive_interval, interval);
    }

    connection_options const& options() const noexcept
    {
        return m_options;
    }

    static nghttp2_data_provider body_provider();
    static std::vector<nghttp2_nv> to_nghttp2(header_list const& headers);

private:
    friend struct session_callbacks;

    void read_some();
    void handle_input(std::size_t size);
    bool collect_output();
    void begin_linger_if_idle();
    void arm_keepalive();
    void handle_keepalive_timer();

    boost::asio::ip::tcp::socket m_socket;
    connection_options m_options;
    std::shared_ptr<traffic_counters> m_counters;
    boost::asio::steady_timer m_keepalive_timer;
    boost::asio::steady_timer m_linger_timer;
    nghttp2_session* m_session = nullptr;
    /// Holds one frame. The control program has a connection per sidecar, so a
    /// larger buffer would add up.
    std::array<char, max_frame_bytes> m_input{};
    std::string m_output;
    unsigned m_unanswered_probes = 0;
    bool m_received_in_interval = false;
    bool m_inside_nghttp2 = false;
    bool m_writing = false;
    bool m_lingering = false;
    bool m_closed = false;
};

} // namespace turmericswitch::transport

#endif
