#ifndef TURMERICSWITCH_STORE_FILES_FOLDER_LOCK_HPP
#define TURMERICSWITCH_STORE_FILES_FOLDER_LOCK_HPP

#include <memory>
#include <string>

namespace turmericswitch::store
{

/// Keeps a second process out of a data folder while it lives.
///
/// Take it before reading anything in the folder: two processes with one
/// identity would vote twice. The lock ends with the process.
class folder_lock
{
public:
    /// Creates the folder when it is missing.
    ///
    /// @return Null with `io_failed` when another process has the lock or the
    /// folder can't be used.
    static std::unique_ptr<folder_lock> acquire(std::string const& folder);

    ~folder_lock();

    folder_lock(folder_lock const&) = delete;
    folder_lock& operator=(folder_lock const&) = delete;

private:
    explicit folder_lock(int descriptor);

    int m_descriptor;
};

} // namespace turmericswitch::store

#endif
