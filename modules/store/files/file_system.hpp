#ifndef TURMERICSWITCH_STORE_FILES_FILE_SYSTEM_HPP
#define TURMERICSWITCH_STORE_FILES_FILE_SYSTEM_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::store
{

/// A file opened for appending. Appended bytes are durable only after sync().
class append_file
{
public:
    virtual ~append_file() = default;

    /// Appends all bytes. After a failure the file may hold some of them.
    /// @return False with `disk_full` or `io_failed` as last reason.
    virtual bool append(std::string_view bytes) = 0;

    /// Makes the appended bytes durable.
    ///
    /// @return False with `sync_failed` as last reason.
    virtual bool sync() = 0;
};

/// The file operations that the store needs. Tests replace the real disk by
/// one that loses unsynced writes.
class file_system
{
public:
    virtual ~file_system() = default;

    /// Opens a file for appending and creates it when it is missing.
    /// @return Null with `disk_full` or `io_failed` as last reason.
    virtual std::unique_ptr<append_file> open(std::string const& path) = 0;

    /// @return The content of the file, or nothing with `io_failed`.
    virtual std::optional<std::string> read(std::string const& path) = 0;

    /// @return The sorted names in the folder, without its path, or nothing
    /// with `io_failed`.
    virtual std::optional<std::vector<std::string>>
    list(std::string const& folder) = 0;

    /// Creates a folder and its parents when missing, and syncs the parents.
    virtual bool make_folder(std::string const& folder) = 0;

    /// Renames a file and replaces `to`. Durable only after sync_folder().
    virtual bool rename(std::string const& from, std::string const& to) = 0;

    /// Removes a file. Durable only after sync_folder().
    virtual bool remove(std::string const& path) = 0;

    /// Truncates a file to `size` bytes and syncs it.
    virtual bool truncate(std::string const& path, std::uint64_t size) = 0;

    /// Makes creations, renames and removals in the folder durable.
    virtual bool sync_folder(std::string const& folder) = 0;
};

} // namespace turmericswitch::store

#endif
