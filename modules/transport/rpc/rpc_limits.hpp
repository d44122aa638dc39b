#ifndef TURMERICSWITCH_TRANSPORT_RPC_RPC_LIMITS_HPP
#define TURMERICSWITCH_TRANSPORT_RPC_RPC_LIMITS_HPP

#include "core/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericswitch::transport
{

/// Largest body of a call or an answer, in bytes.
constexpr std::size_t max_body_bytes = std::size_t{32} << 20;
/// Largest path of a call, in bytes.
constexpr std::size_t max_path_bytes = 1024;
/// Largest sum of header names and values per stream, in bytes.
constexpr std::size_t max_header_bytes = 8192;
/// Streams that one peer may have open at a time; further calls wait in the
/// client.
constexpr std::uint32_t max_open_streams = 1024;
/// HTTP/2 flow-control window per stream, in bytes. Larger than the
/// bandwidth-delay product between regions (30 Mbit/s x 24 ms is 90 kB), so
/// that one stream can use the whole link.
constexpr std::int32_t stream_window_bytes = 1 << 20;
/// HTTP/2 flow-control window per connection, in bytes.
constexpr std::int32_t connection_window_bytes = 16 << 20;
/// Largest frame accepted, in bytes; small enough not to delay other streams.
constexpr std::uint32_t max_frame_bytes = 16384;
/// Size at which collected output is written to the socket, in bytes.
constexpr std::size_t write_batch_bytes = std::size_t{128} << 10;

/// Header of a call with the client's keepalive interval in seconds.
constexpr char const* keepalive_header = "x-keepalive-seconds";
/// Longest keepalive interval that a server accepts from a client. Bounds the
/// time for which it keeps connections of lost peers.
constexpr core::duration max_keepalive_interval = std::chrono::seconds(30);

/// Options that both ends of a connection share.
struct connection_options
{
    /// Sent in the x-protocol-version header; a server refuses calls with
    /// another value.
    std::uint32_t protocol_version = 1;
    /// Largest body in bytes; a larger one is refused with message_too_large.
    std::size_t body_limit = max_body_bytes;
    std::uint32_t stream_limit = max_open_streams;
    /// A PING is sent when nothing was received for this long. A client with a
    /// longer one than the default asks the server to use it too.
    core::duration keepalive_interval = std::chrono::seconds(2);
    /// Unanswered PINGs after which the connection is closed.
    unsigned keepalive_probes = 2;
    /// How long an ended session keeps its socket open for the peer to close
    /// first.
    core::duration linger = std::chrono::seconds(1);
};

} // namespace turmericswitch::transport

#endif
