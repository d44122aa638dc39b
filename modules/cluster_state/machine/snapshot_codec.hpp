#ifndef TURMERICSWITCH_CLUSTER_STATE_MACHINE_SNAPSHOT_CODEC_HPP
#define TURMERICSWITCH_CLUSTER_STATE_MACHINE_SNAPSHOT_CODEC_HPP

#include "core/messages/state.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Maximum jobs per part of a snapshot. Keeps each part far below the size
/// limit of a message, as an encoded job has at most about 6 kB.
constexpr std::size_t jobs_per_part = 2000;

/// @return The encoded parts, each with its length as a prefix.
std::string encode_parts(std::vector<core::state_snapshot> const& parts);

/// Reverses `encode_parts`.
///
/// @return At least one part; nothing with `snapshot_damaged` if the bytes are
/// empty, truncated or can't be decoded.
std::optional<std::vector<core::state_snapshot>>
decode_parts(std::string_view bytes);

} // namespace turmericswitch::cluster_state

#endif
