#ifndef TURMERICSWITCH_CONTROL_NODE_LOG_WRITER_HPP
#define TURMERICSWITCH_CONTROL_NODE_LOG_WRITER_HPP

#include "store/log/log_store.hpp"
#include "store/state/snapshot_store.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

namespace turmericswitch::control
{

/// What the log and snapshot stores hold.
struct stored_log
{
    store::stored_snapshot snapshot;
    std::vector<core::log_entry> entries;
};

/// Writes the log and snapshots on its own thread, so that a slow sync does
/// not delay heartbeats. Queued appends are combined into one sync. After a
/// failure nothing is written until `reopen` succeeds: later entries from the
/// queue would leave a gap in the log.
class log_writer
{
public:
    // Hooks are called on the writer's thread.

    /// Gets the index and term of the last durable entry.
    using persisted_hook = std::function<void(core::log_index, core::term)>;
    /// Called after the first failed write or sync since the start or the last
    /// successful `reopen`.
    using failed_hook = std::function<void()>;
    /// Gets what the stores hold, or nothing with the last reason why they
    /// can't be used.
    using reopened_hook = std::function<void(std::optional<stored_log>)>;
    using saved_hook =
        std::function<void(std::shared_ptr<store::stored_snapshot const>)>;

    log_writer(store::log_store log,
               store::snapshot_store snapshots,
               persisted_hook on_persisted,
               failed_hook on_failed);
    /// Writes everything queued, then ends the thread.
    ~log_writer();

    log_writer(log_writer const&) = delete;
    log_writer& operator=(log_writer const&) = delete;

    /// Queues entries; `persisted_hook` follows when they are durable.
    void append(std::vector<core::log_entry> entries);

    /// Waits until everything queued so far was written, for tests that run
    /// an event loop step by step.
    void wait_until_written();

    /// Removes the entries from index `from` on and waits until this is
    /// durable.
    ///
    /// @return False after a failed write or sync.
    bool truncate(core::log_index from);

    /// Saves a snapshot received from the leader, discards the whole log, and
    /// waits until both are durable.
    ///
    /// @return False after a failed write or sync.
    bool install(store::stored_snapshot snapshot);

    /// Queues a snapshot of the local state. When it is durable, the log
    /// entries that the oldest kept snapshot covers are removed.
    ///
    /// @param on_saved Called when the snapshot is durable.
    void save(std::shared_ptr<store::stored_snapshot const> const& snapshot,
              saved_hook on_saved);

    /// Opens the stores again after a failure and reads back what they hold.
    /// Everything queued before is dropped.
    void reopen(reopened_hook on_reopened);

private:
    struct append_work
    {
        std::vector<core::log_entry> entries;
    };

    /// A write that is not combined with others.
    struct exclusive_work
    {
        std::function<bool()> run;
        std::promise<bool> done;
    };

    struct reopen_work
    {
        reopened_hook on_reopened;
    };

    using work = std::variant<append_work, exclusive_work, reopen_work>;

    void enqueue(work item);
    bool wait_for(std::function<bool()> run);
    void run();
    void write(std::vector<core::log_entry> const& entries);
    void run_alone(exclusive_work& item);
    void run_alone(reopen_work& item);
    std::optional<stored_log> reopen_stores();
    void fail();
    bool compact();

    store::log_store m_log;
    store::snapshot_store m_snapshots;
    persisted_hook m_on_persisted;
    failed_hook m_on_failed;
    /// Used on the writer's thread only.
    bool m_has_failed = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<work> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::control

#endif
