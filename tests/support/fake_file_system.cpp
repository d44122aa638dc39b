#include "support/fake_file_system.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace turmericswitch::testing
{

using core::result_code;

class fake_file_system::fake_append_file final : public store::append_file
{
public:
    fake_append_file(fake_file_system& disk, std::shared_ptr<content> file)
        : m_disk(&disk), m_file(std::move(file))
    {
    }

    bool append(std::string_view bytes) override
    {
        std::lock_guard const lock(*m_disk->m_mutex);
        auto& space = m_disk->m_space;
        auto const fits = space ? std::min<std::uint64_t>(*space, bytes.size())
                                : bytes.size();
        m_file->bytes += bytes.substr(0, fits);
        if (space)
        {
            *space -= fits;
        }
        return fits == bytes.size() ||
               core::fail_bool(result_code::disk_full, "fake disk is full");
    }

    bool sync() override
    {
        std::lock_guard const lock(*m_disk->m_mutex);
        if (m_disk->m_fail_sync)
        {
            m_disk->m_fail_sync = false;
            m_file->dropped = m_disk->m_sync_drops;
            return core::fail_bool(result_code::sync_failed, "fake sync");
        }
        if (m_disk->m_fails_all_syncs)
        {
            m_file->dropped = true;
            return core::fail_bool(result_code::sync_failed, "fake syncs");
        }
        if (!m_file->dropped)
        {
            m_file->synced = m_file->bytes.size();
        }
        return true;
    }

private:
    fake_file_system* m_disk;
    std::shared_ptr<content> m_file;
};

fake_file_system::fake_file_system(std::uint64_t seed)
    : m_random(core::seeded_random(seed))
{
}

std::unique_ptr<store::append_file>
fake_file_system::open(std::string const& path)
{
    std::lock_guard const lock(*m_mutex);
    auto& file = m_live[path];
    if (!file)
    {
        file = std::make_shared<content>();
    }
    return std::make_unique<fake_append_file>(*this, file);
}

std::optional<std::string> fake_file_system::read(std::string const& path)
{
    std::lock_guard const lock(*m_mutex);
    auto const found = m_live.find(path);
    if (found == m_live.end())
    {
        return core::fail(result_code::io_failed, path + " is missing");
    }
    return found->second->bytes;
}

std::optional<std::vector<std::string>>
fake_file_system::list(std::string const& folder)
{
    std::lock_guard const lock(*m_mutex);
    std::vector<std::string> names;
    for (auto const& [path, file] : m_live)
    {
        if (path.starts_with(folder + "/"))
        {
            names.push_back(path.substr(folder.size() + 1));
        }
    }
    return names;
}

bool fake_file_system::make_folder(std::string const&)
{
    return true;
}

bool fake_file_system::rename(std::string const& from, std::string const& to)
{
    std::lock_guard const lock(*m_mutex);
    auto const found = m_live.find(from);
    if (found == m_live.end())
    {
        return core::fail_bool(result_code::io_failed, from + " is missing");
    }
    m_live[to] = found->second;
    m_live.erase(from);
    return true;
}

bool fake_file_system::remove(std::string const& path)
{
    std::lock_guard const lock(*m_mutex);
    return m_live.erase(path) == 1 ||
           core::fail_bool(result_code::io_failed, path + " is missing");
}

bool fake_file_system::truncate(std::string const& path, std::uint64_t size)
{
    std::lock_guard const lock(*m_mutex);
    auto const found = m_live.find(path);
    if (found == m_live.end())
    {
        return core::fail_bool(result_code::io_failed, path + " is missing");
    }
    auto& file = *found->second;
    file.bytes.resize(size);
    file.synced = file.dropped ? std::min(file.synced, file.bytes.size())
                               : file.bytes.size();
    return true;
}

bool fake_file_system::sync_folder(std::string const& folder)
{
    std::lock_guard const lock(*m_mutex);
    auto const inside = [&folder](auto const& item)
    { return item.first.starts_with(folder + "/"); };
    std::erase_if(m_durable, inside);
    std::copy_if(m_live.begin(),
                 m_live.end(),
                 std::inserter(m_durable, m_durable.end()),
                 inside);
    return true;
}

void fake_file_system::crash()
{
    std::lock_guard const lock(*m_mutex);
    std::set<std::string> paths;
    for (auto const* part : {&m_live, &m_durable})
    {
        for (auto const& [path, file] : *part)
        {
            paths.insert(path);
        }
    }
    directory after;
    for (auto const& path : paths)
    {
        auto const& chosen =
            core::random_below(m_random, 2) == 0 ? m_live : m_durable;
        if (auto const found = chosen.find(path); found != chosen.end())
        {
            after.insert(*found);
        }
    }
    m_live = after;
    m_durable = after;
    for (auto const& [path, file] : after)
    {
        crash_content(*file);
    }
    m_fail_sync = false;
}

void fake_file_system::crash_content(content& file)
{
    auto const unsynced = file.bytes.size() - file.synced;
    auto const kept =
        file.dropped ? 0 : core::random_below(m_random, unsynced + 1);
    file.bytes.resize(file.synced + kept);
    if (kept > 0 && core::random_below(m_random, 2) == 0)
    {
        auto const hole = core::random_below(m_random, kept);
        auto const length = core::random_below(m_random, kept - hole) + 1;
        std::fill_n(file.bytes.begin() +
                        static_cast<std::ptrdiff_t>(file.synced + hole),
                    length,
                    '\0');
    }
    file.synced = file.bytes.size();
    file.dropped = false;
}

void fake_file_system::set_space(std::optional<std::uint64_t> bytes)
{
    std::lock_guard const lock(*m_mutex);
    m_space = bytes;
}

void fake_file_system::fail_next_sync(bool drops)
{
    std::lock_guard const lock(*m_mutex);
    m_fail_sync = true;
    m_sync_drops = drops;
}

void fake_file_system::fail_syncs(bool fails)
{
    std::lock_guard const lock(*m_mutex);
    m_fails_all_syncs = fails;
}

void fake_file_system::damage(std::string const& path, std::uint64_t offset)
{
    std::lock_guard const lock(*m_mutex);
    auto& byte = m_live.at(path)->bytes.at(offset);
    byte = static_cast<char>(~byte);
}

std::uint64_t fake_file_system::size(std::string const& path) const
{
    std::lock_guard const lock(*m_mutex);
    return m_live.at(path)->bytes.size();
}

} // namespace turmericswitch::testing
