#include "store/files/folder_lock.hpp"

#include "core/results/last_reason.hpp"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace turmericswitch::store
{

namespace
{

constexpr int file_mode = 0640;

std::nullptr_t refuse(std::string const& text)
{
    core::fail(core::result_code::io_failed, text);
    return nullptr;
}

} // namespace

std::unique_ptr<folder_lock> folder_lock::acquire(std::string const& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    auto const path = folder + "/lock";
    int const descriptor =
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (descriptor < 0)
    {
        return refuse("open " + path + ": " +
                      std::generic_category().message(errno));
    }
    std::unique_ptr<folder_lock> lock(new folder_lock(descriptor));
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0)
    {
        return refuse("another process uses the data folder " + folder);
    }
    return lock;
}

folder_lock::folder_lock(int descriptor) : m_descriptor(descriptor) {}

folder_lock::~folder_lock()
{
    ::close(m_descriptor);
}

} // namespace turmericswitch::store
