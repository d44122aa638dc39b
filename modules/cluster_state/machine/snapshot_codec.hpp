#ifndef TURMERICSWITCH_CLUSTER_STATE_MACHINE_SNAPSHOT_CODEC_HPP
#define TURMERICSWITCH_CLUSTER_STATE_MACHINE_SNAPSHOT_CODEC_HPP

#include "core/messages/state.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Jobs per part of a snapshot, which keeps each part far below the size
/// limit of a message (jobs have at most about 6 kB).
constexpr std::size_t jobs_per_part = 2000;

/// @return The parts, each with its length in front.
std::string encode_parts(std::vector<core::state_snapshot> const& parts);

/// @return The parts, at least one, or nothing with `snapshot_damaged`.
std::optional<std::vector<core::state_snapshot>>
decode_parts(std::string_view bytes);

} // namespace turmericswitch::cluster_state

#endif
