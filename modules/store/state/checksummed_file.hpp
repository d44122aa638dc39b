#ifndef TURMERICSWITCH_STORE_STATE_CHECKSUMMED_FILE_HPP
#define TURMERICSWITCH_STORE_STATE_CHECKSUMMED_FILE_HPP

#include "store/files/file_system.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::store
{

/// Replaces a file atomically: writes a new file with a checksum, syncs it,
/// renames it and syncs the folder.
///
/// @return False with the reason of the failed step; the old file is then
/// still in place unless only the folder sync failed.
bool replace_checksummed_file(file_system& files,
                              std::string const& folder,
                              std::string const& name,
                              std::string_view payload);

/// @return The payload, or nothing with `io_failed` when the file can't be
/// read or its checksum is wrong.
std::optional<std::string> read_checksummed_file(file_system& files,
                                                 std::string const& folder,
                                                 std::string const& name);

/// @return True when the folder has a file of this name; false also when the
/// folder can't be listed.
bool has_file(file_system& files,
              std::string const& folder,
              std::string const& name);

} // namespace turmericswitch::store

#endif
