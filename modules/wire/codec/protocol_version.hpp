#ifndef TURMERICSWITCH_WIRE_CODEC_PROTOCOL_VERSION_HPP
#define TURMERICSWITCH_WIRE_CODEC_PROTOCOL_VERSION_HPP

#include <cstdint>

namespace turmericswitch::wire
{

/// Sent with every call; calls from a peer with another version are rejected.
constexpr std::uint32_t protocol_version = 2;

} // namespace turmericswitch::wire

#endif
