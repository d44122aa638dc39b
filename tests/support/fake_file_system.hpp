#ifndef TURMERICSWITCH_TESTS_SUPPORT_FAKE_FILE_SYSTEM_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_FAKE_FILE_SYSTEM_HPP

#include "core/hooks/random_source.hpp"
#include "store/files/file_system.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace turmericswitch::testing
{

/// Files in memory with the losses of a real disk: a crash drops unsynced
/// bytes and unsynced directory entries, possibly only in part. Several
/// threads may use it.
class fake_file_system final : public store::file_system
{
public:
    explicit fake_file_system(std::uint64_t seed = 1);

    std::unique_ptr<store::append_file> open(std::string const& path) override;
    std::optional<std::string> read(std::string const& path) override;
    std::optional<std::vector<std::string>>
    list(std::string const& folder) override;
    bool make_folder(std::string const& folder) override;
    bool rename(std::string const& from, std::string const& to) override;
    bool remove(std::string const& path) override;
    bool truncate(std::string const& path, std::uint64_t size) override;
    bool sync_folder(std::string const& folder) override;

    /// Loses what was not synced. A random part of it may survive, with a
    /// hole of zeros, as when the kernel wrote pages out of order.
    void crash();
    /// Appends fail with `disk_full` once this many bytes were written; the
    /// last one is written in part.
    void set_space(std::optional<std::uint64_t> bytes);
    /// The next file sync fails. With `drops` the unsynced bytes are lost:
    /// later syncs succeed without writing them. Without, they are still on
    /// their way, so that a crash tears them.
    void fail_next_sync(bool drops = true);
    /// All syncs of files fail and lose their unsynced bytes, until this is
    /// called with false.
    void fail_syncs(bool fails);
    /// Inverts the byte at an offset.
    void damage(std::string const& path, std::uint64_t offset);
    std::uint64_t size(std::string const& path) const;

private:
    struct content
    {
        std::string bytes;
        std::size_t synced = 0;
        bool dropped = false;
    };
    class fake_append_file;
    using directory = std::map<std::string, std::shared_ptr<content>>;

    void crash_content(content& file);

    /// On the heap, so that a disk can be replaced by a new one.
    std::unique_ptr<std::mutex> m_mutex = std::make_unique<std::mutex>();
    core::random_source m_random;
    directory m_live;
    directory m_durable;
    std::optional<std::uint64_t> m_space;
    bool m_fail_sync = false;
    bool m_sync_drops = false;
    bool m_fails_all_syncs = false;
};

} // namespace turmericswitch::testing

#endif
