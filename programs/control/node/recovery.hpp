#ifndef TURMERICSWITCH_CONTROL_NODE_RECOVERY_HPP
#define TURMERICSWITCH_CONTROL_NODE_RECOVERY_HPP

#include "node/replica.hpp"
#include "settings/control_settings.hpp"
#include "store/files/file_system.hpp"

#include <optional>

namespace turmericswitch::control
{

/// How an instance starts.
enum class start_mode : std::uint8_t
{
    /// Continues with the identity and state in its data folder.
    normal,
    /// Starts as one of the first members of a new group. Needs an empty data
    /// folder.
    bootstrap,
    /// Starts as a new member that waits to be added. Needs an empty data
    /// folder.
    join,
    /// Chooses by the data folder: `normal` if it has an identity, else
    /// `bootstrap` if the settings allow it, else `join`.
    automatic,
};

/// Reads the state from the data folder, or initializes an empty folder.
///
/// @param files Must outlive the returned parts.
/// @param random_seed Seeds consensus. It also becomes the data folder id of a
/// new identity and determines the id of a member that joins in mode
/// `automatic`.
/// @return Nothing with `identity_lost`, `log_damaged`, `snapshot_damaged`,
/// `snapshot_log_mismatch`, `settings_missing_key` or the code of a file
/// operation. A folder with an identity is refused with `io_failed` in the
/// modes that need an empty one.
std::optional<replica_parts> recover(store::file_system& files,
                                     control_settings const& settings,
                                     start_mode mode,
                                     std::uint64_t random_seed);

} // namespace turmericswitch::control

#endif
