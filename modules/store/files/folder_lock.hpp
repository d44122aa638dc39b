#ifndef TURMERICSWITCH_STORE_FILES_FOLDER_LOCK_HPP
#define TURMERICSWITCH_STORE_FILES_FOLDER_LOCK_HPP

#include <memory>
#include <string>

namespace turmericswitch::store
{

/// Exclusive lock on a data folder, held until destruction or process exit.
///
/// Acquire it before reading anything in the folder: two processes with the
/// same identity could vote twice in one term.
class folder_lock
{
public:
    /// Creates the folder when it is missing and locks it without waiting.
    ///
    /// @return Null with `io_failed` when another process holds the lock or the
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
