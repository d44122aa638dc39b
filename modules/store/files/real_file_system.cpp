#include "store/files/real_file_system.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace turmericswitch::store
{

namespace
{

using core::result_code;

constexpr int file_mode = 0640;
constexpr std::size_t read_block_bytes = 256U * 1024U;

bool fail_with_errno(std::string const& operation, std::string const& path)
{
    int const error = errno;
    auto const code = error == ENOSPC || error == EDQUOT
                          ? result_code::disk_full
                          : result_code::io_failed;
    return core::fail_bool(code,
                           operation + " " + path + ": " +
                               std::generic_category().message(error));
}

/// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int value) : m_value(value) {}

    descriptor(descriptor const&) = delete;
    descriptor& operator=(descriptor const&) = delete;

    ~descriptor()
    {
        if (m_value >= 0)
        {
            ::close(m_value);
        }
    }

    int get() const
    {
        return m_value;
    }

private:
    int m_value;
};

bool sync_descriptor(int file, std::string const& path)
{
    if (::fsync(file) == 0)
    {
        return true;
    }
    return core::fail_bool(result_code::sync_failed,
                           "sync " + path + ": " +
                               std::generic_category().message(errno));
}

class real_append_file final : public append_file
{
public:
    real_append_file(int file, std::string path)
        : m_file(file), m_path(std::move(path))
    {
    }

    bool append(std::string_view bytes) override
    {
        while (!bytes.empty())
        {
            auto const written =
                ::write(m_file.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
            {
                continue;
            }
            if (written <= 0)
            {
                return fail_with_errno("write", m_path);
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    bool sync() override
    {
        return sync_descriptor(m_file.get(), m_path);
    }

private:
    descriptor m_file;
    std::string m_path;
};

} // namespace

std::unique_ptr<append_file> real_file_system::open(std::string const& path)
{
    int const file = ::open(
        path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        fail_with_errno("open", path);
        return nullptr;
    }
    return std::make_unique<real_append_file>(file, path);
}

std::optional<std::string> real_file_system::read(std::string const& path)
{
    descriptor const file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0)
    {
        fail_with_errno("open", path);
        return std::nullopt;
    }
    std::string content;
    std::string block(read_block_bytes, '\0');
    while (true)
    {
        auto const count = ::read(file.get(), block.data(), block.size());
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0)
        {
            fail_with_errno("read", path);
            return std::nullopt;
        }
        if (count == 0)
        {
            return content;
        }
        content.append(block.data(), static_cast<std::size_t>(count));
    }
}

std::optional<std::vector<std::string>>
real_file_system::list(std::string const& folder)
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator at(folder, error), end;
         !error && at != end;
         at.increment(error))
    {
        names.push_back(at->path().filename().string());
    }
    if (error)
    {
        return core::fail(result_code::io_failed,
                          "list " + folder + ": " + error.message());
    }
    std::sort(names.begin(), names.end());
    return names;
}

bool real_file_system::make_folder(std::string const& folder)
{
    std::filesystem::path const path(folder);
    std::error_code error;
    if (std::filesystem::is_directory(path, error))
    {
        return true;
    }
    auto const parent =
        path.has_parent_path() ? path.parent_path().string() : std::string(".");
    if (path.has_parent_path() && !make_folder(parent))
    {
        return false;
    }
    std::filesystem::create_directory(path, error);
    if (error)
    {
        return core::fail_bool(result_code::io_failed,
                               "create " + folder + ": " + error.message());
    }
    return sync_folder(parent);
}

bool real_file_system::rename(std::string const& from, std::string const& to)
{
    return ::rename(from.c_str(), to.c_str()) == 0 ||
           fail_with_errno("rename", from);
}

bool real_file_system::remove(std::string const& path)
{
    return ::unlink(path.c_str()) == 0 || fail_with_errno("remove", path);
}

bool real_file_system::truncate(std::string const& path, std::uint64_t size)
{
    descriptor const file(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (file.get() < 0 ||
        ::ftruncate(file.get(), static_cast<::off_t>(size)) != 0)
    {
        return fail_with_errno("truncate", path);
    }
    return sync_descriptor(file.get(), path);
}

bool real_file_system::sync_folder(std::string const& folder)
{
    descriptor const file(
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (file.get() < 0)
    {
        return fail_with_errno("open", folder);
    }
    return sync_descriptor(file.get(), folder);
}

} // namespace turmericswitch::store
