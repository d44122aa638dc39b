#include "cluster_state/machine/snapshot_codec.hpp"

#include "core/results/last_reason.hpp"
#include "wire/codec/message_codec.hpp"

namespace turmericswitch::cluster_state
{

namespace
{

constexpr std::size_t length_bytes = 8;

void append_length(std::string& bytes, std::uint64_t length)
{
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        bytes += static_cast<char>((length >> (8 * i)) & 0xFFU);
    }
}

std::uint64_t read_length(std::string_view bytes)
{
    std::uint64_t length = 0;
    for (std::size_t i = length_bytes; i > 0; --i)
    {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i - 1]);
    }
    return length;
}

} // namespace

std::string encode_parts(std::vector<core::state_snapshot> const& parts)
{
    std::string bytes;
    for (auto const& part : parts)
    {
        auto const encoded = wire::encode(part);
        append_length(bytes, encoded.size());
        bytes += encoded;
    }
    return bytes;
}

std::optional<std::vector<core::state_snapshot>>
decode_parts(std::string_view bytes)
{
    std::vector<core::state_snapshot> parts;
    while (!bytes.empty())
    {
        auto const length =
            bytes.size() < length_bytes ? bytes.size() : read_length(bytes);
        if (bytes.size() < length_bytes || length > bytes.size() - length_bytes)
        {
            return core::fail(core::result_code::snapshot_damaged,
                              "the snapshot is truncated");
        }
        auto part = wire::decode<core::state_snapshot>(
            bytes.substr(length_bytes, length));
        if (!part)
        {
            return core::fail(core::result_code::snapshot_damaged,
                              "a part of the snapshot can't be decoded");
        }
        parts.push_back(std::move(*part));
        bytes.remove_prefix(length_bytes + length);
    }
    if (parts.empty())
    {
        return core::fail(core::result_code::snapshot_damaged,
                          "the snapshot is empty");
    }
    return parts;
}

} // namespace turmericswitch::cluster_state
