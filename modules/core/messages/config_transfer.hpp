#ifndef TURMERICSWITCH_CORE_MESSAGES_CONFIG_TRANSFER_HPP
#define TURMERICSWITCH_CORE_MESSAGES_CONFIG_TRANSFER_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmericswitch::core
{

/// Slowest link of a process, in bytes per second: 2 Mbit/s.
constexpr std::uint64_t slowest_link_bytes_per_second = 250'000;
/// Most bytes of configuration in one message; 131 ms on the slowest link.
constexpr std::size_t config_chunk_bytes = 32U * 1024U;

/// Identifies the bytes that bring a process to a revision. Every control
/// instance that has the revision and the base makes the same bytes.
struct config_content
{
    revision made;
    /// Revision to which the bytes are a delta; 0 if they are the whole
    /// configuration.
    revision base;
    std::uint64_t total_bytes = 0;
    /// XXH3 of the encoded whole configuration of `made`. A delta that was
    /// applied to another base gives another one.
    std::uint64_t checksum = 0;

    bool operator==(config_content const&) const = default;
};

/// What a watch answer says about a newer configuration.
struct config_transfer
{
    config_content content;
    /// All the bytes or none; without them the process asks for chunks.
    std::string bytes;

    bool operator==(config_transfer const&) const = default;
};

/// `/config-chunk`: asks any control instance for bytes from an offset on.
struct chunk_request
{
    client_id process;
    config_content content;
    std::uint64_t offset = 0;

    bool operator==(chunk_request const&) const = default;
};

/// Answer to `/config-chunk`.
struct chunk_answer
{
    /// `ok`, or `configuration_unavailable`.
    result_code code = result_code::ok;
    /// The bytes from the offset on, at most `config_chunk_bytes`; empty if
    /// other processes come first.
    std::string bytes;
    /// When to ask again if there are no bytes.
    duration retry_after{};

    bool operator==(chunk_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
