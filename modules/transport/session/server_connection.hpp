#ifndef TURMERICSWITCH_TRANSPORT_SESSION_SERVER_CONNECTION_HPP
#define TURMERICSWITCH_TRANSPORT_SESSION_SERVER_CONNECTION_HPP

#include "transport/rpc/rpc_server.hpp"
#include "transport/session/http2_connection.hpp"

#include <functional>
#include <unordered_map>

namespace turmericswitch::transport
{

/// Data shared by the connections of one server. Only the counter changes
/// after the first connection.
struct server_context
{
    rpc_handler handler;
    connection_options options;
    log_hook log;
    std::function<void(http2_connection*)> closed;
    std::atomic<std::size_t> open_calls = 0;
};

/// Server side of one HTTP/2 connection.
class server_connection : public http2_connection
{
public:
    server_connection(boost::asio::ip::tcp::socket socket,
                      std::shared_ptr<server_context> context);

    /// Sends GOAWAY; the connection ends when its open streams have ended.
    void begin_shutdown();

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
    struct call
    {
        rpc_request request;
        std::string version;
        std::size_t header_bytes = 0;
        bool complete = false;
        bool answered = false;
        std::string answer;
        std::size_t offset = 0;
    };

    call* find(std::int32_t stream);
    bool version_matches(call const& entry) const;
    void dispatch(std::int32_t stream, call& entry);
    void respond(std::int32_t stream, std::optional<rpc_answer> value);
    void submit(std::int32_t stream, call& entry, rpc_answer value);
    void reset(std::int32_t stream);

    std::shared_ptr<server_context> m_context;
    std::unordered_map<std::int32_t, call> m_calls;
    bool m_stopping = false;
};

} // namespace turmericswitch::transport

#endif
