#ifndef TURMERICSWITCH_WIRE_CODEC_CHECKSUM_HPP
#define TURMERICSWITCH_WIRE_CODEC_CHECKSUM_HPP

#include <cstdint>
#include <string_view>

namespace turmericswitch::wire
{

/// @return The XXH3 checksum of the bytes. It is the same in every process.
std::uint64_t checksum_of(std::string_view bytes);

} // namespace turmericswitch::wire

#endif
