#include "store/state/checksummed_file.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <cstring>
#include <utility>
#include <xxhash.h>

namespace turmericswitch::store
{

namespace
{

constexpr std::size_t checksum_bytes = sizeof(std::uint64_t);

std::string checksum_of(std::string_view payload)
{
    auto const sum = XXH3_64bits(payload.data(), payload.size());
    std::string bytes(checksum_bytes, '\0');
    std::memcpy(bytes.data(), &sum, checksum_bytes);
    return bytes;
}

bool write_new_file(file_system& files,
                    std::string const& path,
                    std::string_view payload)
{
    auto const file = files.open(path);
    return file && file->append(checksum_of(payload)) &&
           file->append(payload) && file->sync();
}

/// Frees the space of a file that could not be written, and keeps the reason of
/// that failure as last reason.
void remove_partial_file(file_system& files, std::string const& path)
{
    // A copy, because the removal may fail too.
    auto reason = core::last_reason();
    files.remove(path);
    core::fail_bool(reason.code, std::move(reason.text));
}

} // namespace

bool has_file(file_system& files,
              std::string const& folder,
              std::string const& name)
{
    auto const names = files.list(folder);
    return names && std::binary_search(names->begin(), names->end(), name);
}

bool replace_checksummed_file(file_system& files,
                              std::string const& folder,
                              std::string const& name,
                              std::string_view payload)
{
    auto const temporary = name + ".new";
    auto const path = folder + "/" + temporary;
    // A crash or a full disk may have left a partial file behind.
    if (has_file(files, folder, temporary) && !files.remove(path))
    {
        return false;
    }
    if (!write_new_file(files, path, payload))
    {
        remove_partial_file(files, path);
        return false;
    }
    return files.rename(path, folder + "/" + name) && files.sync_folder(folder);
}

std::optional<std::string> read_checksummed_file(file_system& files,
                                                 std::string const& folder,
                                                 std::string const& name)
{
    auto content = files.read(folder + "/" + name);
    if (!content)
    {
        return std::nullopt;
    }
    auto const sum = content->substr(0, checksum_bytes);
    content->erase(0, checksum_bytes);
    if (sum != checksum_of(*content))
    {
        return core::fail(core::result_code::io_failed,
                          folder + "/" + name + " has a wrong checksum");
    }
    return content;
}

} // namespace turmericswitch::store
