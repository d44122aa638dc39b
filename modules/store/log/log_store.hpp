#ifndef TURMERICSWITCH_STORE_LOG_LOG_STORE_HPP
#define TURMERICSWITCH_STORE_LOG_LOG_STORE_HPP

#include "core/messages/consensus.hpp"
#include "store/files/file_system.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::store
{

/// Limits of the log on disk.
struct log_options
{
    /// Once a segment has reached this size, the next batch starts a new one.
    std::uint64_t segment_bytes = 16U * 1024U * 1024U;
};

/// Index and term of the last entry that the newest snapshot covers; zeros
/// without a snapshot.
struct log_base
{
    core::log_index index;
    core::term base_term;
};

/// The consensus log on disk: segments of checksummed records, one sync per
/// batch. Use one per data folder and call it from one thread.
///
/// After a failed write that could not be undone, and after a failed sync,
/// every further write is refused until `reopen` succeeds: the kernel may have
/// dropped the unsynced pages, so that a second sync would prove nothing.
class log_store
{
public:
    /// Opens the log, truncates a torn tail and reads all entries.
    ///
    /// Removes all entries when the log ends before `base` or has another
    /// term at it, because a newer snapshot has then replaced them.
    ///
    /// @return Nothing with `log_damaged` when a synced record is damaged or
    /// missing, `snapshot_log_mismatch` when entries between snapshot and log
    /// are missing, or the code of a failed file operation.
    static std::optional<log_store> open(file_system& files,
                                         std::string folder,
                                         log_base base,
                                         log_options options = {});

    /// Truncates what the last successful sync did not cover, reads all entries
    /// back from the files, and accepts writes again. Later batches go to new
    /// segments, because a sync of a file that has lost pages proves nothing.
    ///
    /// @param base As for open().
    /// @return False with the reason as for open(); writes are then refused
    /// until a later call succeeds.
    bool reopen(log_base base);

    /// @return The entries found by the last open() or reopen(); empty from the
    /// second call on.
    std::vector<core::log_entry> take_recovered();

    /// Appends a batch and syncs once.
    ///
    /// @param entries Consecutive; the first follows the last stored one.
    /// @return False with `disk_full`, `io_failed` or `sync_failed`; none of
    /// the entries is then accepted.
    bool append(std::vector<core::log_entry> const& entries);

    /// Removes all entries from `from` on, durably.
    bool truncate_suffix(core::log_index from);

    /// Removes whole segments that end at or before `index`. Call it only
    /// when a durable snapshot covers `index`.
    bool compact_prefix(core::log_index index);

    /// Removes all entries; the next append starts after `base`. Call it when
    /// a received snapshot that ends at `base` is durable.
    bool reset(core::log_index base);

    /// @return The last stored index, or that of the snapshot if the log is
    /// empty.
    core::log_index last_index() const
    {
        return m_last;
    }

private:
    struct segment
    {
        std::uint64_t first_index = 0;
        /// Offset of each record in the file, in order of index.
        std::vector<std::uint64_t> offsets;
        std::uint64_t size = 0;
        /// Takes no further entries.
        bool is_sealed = false;
    };

    log_store(file_system& files, std::string folder, log_options options);

    bool truncate_unsynced();
    bool recover(log_base base);
    bool recover_segment(std::string const& name, bool is_last);
    bool truncate_torn_tail(std::string const& content,
                            bool is_last,
                            segment& current);
    bool reconcile_with_snapshot(log_base base);
    bool check_writable() const;
    bool open_active_file(std::uint64_t first);
    bool write_batch(std::string const& bytes);
    bool roll_back_batch(bool is_new_segment);
    bool remove_segment(std::size_t position);
    bool mark_failed();
    std::string segment_path(std::uint64_t first) const;

    file_system* m_files;
    std::string m_folder;
    log_options m_options;
    std::vector<segment> m_segments;
    std::vector<core::log_entry> m_recovered;
    std::unique_ptr<append_file> m_active;
    core::log_index m_last;
    bool m_failed = false;
};

} // namespace turmericswitch::store

#endif
