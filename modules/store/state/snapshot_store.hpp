#ifndef TURMERICSWITCH_STORE_STATE_SNAPSHOT_STORE_HPP
#define TURMERICSWITCH_STORE_STATE_SNAPSHOT_STORE_HPP

#include "core/messages/consensus.hpp"
#include "store/files/file_system.hpp"

#include <optional>
#include <string>

namespace turmericswitch::store
{

/// A snapshot of the replicated state with what it covers.
struct stored_snapshot
{
    core::snapshot_metadata metadata;
    std::string data;

    bool operator==(stored_snapshot const&) const = default;
};

/// Keeps the last two snapshots of an instance. Use it beside a `log_store`
/// and compact the log only up to `oldest_index`, so that the older snapshot
/// can still be joined with the log when the newest one is damaged.
class snapshot_store
{
public:
    /// @param folder Created when missing.
    snapshot_store(file_system& files, std::string folder);

    /// Writes a snapshot durably and removes all but the newest two.
    ///
    /// @return False with the reason of the failed file operation; the older
    /// snapshots are then still in place.
    bool save(stored_snapshot const& snapshot);

    /// @return The newest undamaged snapshot; an empty one with index 0 when
    /// none was ever saved; nothing with `snapshot_damaged` when all are
    /// damaged, or `io_failed`.
    std::optional<stored_snapshot> load_newest();

    /// @return The index of the oldest kept snapshot, 0 without two.
    core::log_index oldest_index();

private:
    std::optional<std::vector<std::string>> names();
    std::optional<stored_snapshot> load(std::string const& name);
    bool remove_old();

    file_system* m_files;
    std::string m_folder;
};

} // namespace turmericswitch::store

#endif
