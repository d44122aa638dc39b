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

/// A file opened for appending. Bytes count only once synced.
class append_file
{
public:
    virtual ~append_file() = default;

    /// Appends all bytes. On failure part of them may be in the file.
    /// @return False with `disk_full` or `io_failed` as last reason.
    virtual bool append(std::string_view bytes) = 0;

    /// @return False with `sync_failed` as last reason.
    virtual bool sync() = 0;
};

/// The file operations that the store needs. Use it to run the store on a
/// real disk or, in tests, on one that loses unsynced writes.
class file_system
{
public:
    virtual ~file_system() = default;

    /// Opens a file for appending and creates it when it is missing.
    /// @return Null with `disk_full` or `io_failed` as last reason.
    virtual std::unique_ptr<append_file> open(std::string const& path) = 0;

    /// @return The whole file, or nothing with `io_failed`.
    virtual std::optional<std::string> read(std::string const& path) = 0;

    /// @return Names in the folder, sorted, without the folder; nothing with
    /// `io_failed` on an error.
    virtual std::optional<std::vector<std::string>>
    list(std::string const& folder) = 0;

    /// Creates a folder and its parents when missing, and syncs the parents.
    virtual bool make_folder(std::string const& folder) = 0;

    /// Replaces `to`. It counts only once the folder is synced.
    virtual bool rename(std::string const& from, std::string const& to) = 0;

    /// It counts only once the folder is synced.
    virtual bool remove(std::string const& path) = 0;

    /// Cuts a file to `size` bytes and syncs it.
    virtual bool truncate(std::string const& path, std::uint64_t size) = 0;

    /// Makes creations, renames and removals in the folder durable.
    virtual bool sync_folder(std::string const& folder) = 0;
};

} // namespace turmericswitch::store

#endif
