#ifndef TURMERICSWITCH_TRANSPORT_SESSION_CLIENT_CONNECTION_HPP
#define TURMERICSWITCH_TRANSPORT_SESSION_CLIENT_CONNECTION_HPP

#include "transport/session/http2_connection.hpp"
#include "transport/session/pending_call.hpp"

#include <functional>
#include <unordered_map>

namespace turmericswitch::transport
{

/// Client side of one HTTP/2 connection.
class client_connection : public http2_connection
{
public:
    /// @param unusable Called when no further call may be submitted (after
    /// GOAWAY) and again when the connection ends.
    client_connection(boost::asio::ip::tcp::socket socket,
                      connection_options const& options,
                      std::shared_ptr<traffic_counters> counters,
                      std::function<void(client_connection*)> unusable);

    /// Sends a call on a new stream, or queues it while the peer's stream
    /// limit is reached.
    ///
    /// @return False if the connection accepts no further stream.
    bool submit(call_pointer const& call);

    /// Resets the stream of the call without running its callback.
    void cancel(pending_call const& call);

protected:
    void on_header(std::int32_t stream,
                   std::string_view name,
                   std::string_view value) override;
    void on_data(std::int32_t stream, std::string_view bytes) override;
    void on_end(std::int32_t stream) override;
    void on_headers_sent(std::int32_t stream) override;
    void on_end_sent(std::int32_t stream) override;
    void on_stream_closed(std::int32_t stream, std::uint32_t error) override;
    void on_goaway() override;
    void on_disconnected() override;
    std::string const* outgoing_body(std::int32_t stream) override;
    std::size_t& outgoing_offset(std::int32_t stream) override;

private:
    pending_call* find(std::int32_t stream);
    call_pointer take(std::int32_t stream);
    void report_unusable();

    std::unordered_map<std::int32_t, call_pointer> m_calls;
    std::function<void(client_connection*)> m_unusable;
};

} // namespace turmericswitch::transport

#endif
