#include "wire/codec/checksum.hpp"

#include <xxhash.h>

namespace turmericswitch::wire
{

std::uint64_t checksum_of(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace turmericswitch::wire
