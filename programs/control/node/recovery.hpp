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
    /// With the identity and state in its data folder.
    normal,
    /// As one of the first members of a new group, with an empty folder.
    bootstrap,
    /// As a new member that waits to be added, with an empty folder.
    join,
    /// As the data folder tells: a member starts again, and an empty folder
    /// bootstraps the group if the settings allow it or joins it.
    automatic,
};

/// Reads what the data folder has, or prepares an empty one.
///
/// @param files Must outlive the parts.
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
