#ifndef TURMERICSWITCH_STORE_FILES_REAL_FILE_SYSTEM_HPP
#define TURMERICSWITCH_STORE_FILES_REAL_FILE_SYSTEM_HPP

#include "store/files/file_system.hpp"

namespace turmericswitch::store
{

/// Files of the operating system, for use in programs.
class real_file_system final : public file_system
{
public:
    std::unique_ptr<append_file> open(std::string const& path) override;
    std::optional<std::string> read(std::string const& path) override;
    std::optional<std::vector<std::string>>
    list(std::string const& folder) override;
    bool make_folder(std::string const& folder) override;
    bool rename(std::string const& from, std::string const& to) override;
    bool remove(std::string const& path) override;
    bool truncate(std::string const& path, std::uint64_t size) override;
    bool sync_folder(std::string const& folder) override;
};

} // namespace turmericswitch::store

#endif
