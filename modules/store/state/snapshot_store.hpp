#ifndef TURMERICSWITCH_STORE_STATE_SNAPSHOT_STORE_HPP
#define TURMERICSWITCH_STORE_STATE_SNAPSHOT_STORE_HPP

#include "core/messages/consensus.hpp"
#include "store/files/file_system.hpp"

#include <optional>
#include <string>

namespace turmericswitch::store
{

/// A snapshot of the replicated state and the log position it covers.
struct stored_snapshot
{
    core::snapshot_metadata metadata;
    std::string data;

    bool operator==(stored_snapshot const&) const = default;
};

/// Stores the last two snapshots of an instance. Compact the `log_store` only
/// up to `oldest_index`, so that the log still continues the older snapshot
/// when the newest one is damaged.
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

    /// Makes earlier renames and removals durable. Call it after a failed
    /// save, before the log is compacted up to what `load_newest` finds.
    bool sync();

    /// @return The newest undamaged snapshot; an empty one with index 0 when
    /// there is none; nothing with `snapshot_damaged` when all are
    /// damaged, or `io_failed`.
    std::optional<stored_snapshot> load_newest();

    /// @return The last index covered by the older snapshot; 0 with fewer than
    /// two snapshots.
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
