#include "node/log_writer.hpp"

#include <iterator>
#include <utility>

namespace turmericswitch::control
{

log_writer::log_writer(store::log_store log,
                       store::snapshot_store snapshots,
                       persisted_hook on_persisted,
                       failed_hook on_failed)
    : m_log(std::move(log)),
      m_snapshots(std::move(snapshots)),
      m_on_persisted(std::move(on_persisted)),
      m_on_failed(std::move(on_failed)),
      m_thread([this] { run(); })
{
}

log_writer::~log_writer()
{
    {
        std::lock_guard const lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void log_writer::append(std::vector<core::log_entry> entries)
{
    enqueue(append_work{std::move(entries)});
}

void log_writer::wait_until_written()
{
    wait_for([] { return true; });
}

bool log_writer::truncate(core::log_index from)
{
    return wait_for([this, from] { return m_log.truncate_suffix(from); });
}

bool log_writer::install(store::stored_snapshot snapshot)
{
    return wait_for(
        [this, snapshot = std::move(snapshot)]
        {
            return m_snapshots.save(snapshot) &&
                   m_log.reset(snapshot.metadata.last_index);
        });
}

void log_writer::save(
    std::shared_ptr<store::stored_snapshot const> const& snapshot,
    saved_hook on_saved)
{
    exclusive_work item;
    item.run = [this, snapshot, on_saved = std::move(on_saved)]
    {
        if (!m_snapshots.save(*snapshot))
        {
            return false;
        }
        on_saved(snapshot);
        return compact();
    };
    enqueue(std::move(item));
}

bool log_writer::compact()
{
    auto const oldest = m_snapshots.oldest_index();
    return oldest.value() == 0 || m_log.compact_prefix(oldest);
}

void log_writer::reopen(reopened_hook on_reopened)
{
    enqueue(reopen_work{std::move(on_reopened)});
}

void log_writer::enqueue(work item)
{
    {
        std::lock_guard const lock(m_mutex);
        m_queue.push_back(std::move(item));
    }
    m_wake.notify_one();
}

bool log_writer::wait_for(std::function<bool()> run)
{
    exclusive_work item;
    item.run = std::move(run);
    auto done = item.done.get_future();
    enqueue(std::move(item));
    return done.get();
}

void log_writer::run()
{
    for (;;)
    {
        std::deque<work> ready;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock,
                        [this] { return m_stopping || !m_queue.empty(); });
            if (m_queue.empty())
            {
                return;
            }
            ready.swap(m_queue);
        }
        std::vector<core::log_entry> batch;
        for (auto& item : ready)
        {
            if (auto* const append = std::get_if<append_work>(&item))
            {
                batch.insert(batch.end(),
                             std::make_move_iterator(append->entries.begin()),
                             std::make_move_iterator(append->entries.end()));
                continue;
            }
            write(std::exchange(batch, {}));
            if (auto* const exclusive = std::get_if<exclusive_work>(&item))
            {
                run_alone(*exclusive);
            }
            else
            {
                run_alone(std::get<reopen_work>(item));
            }
        }
        write(batch);
    }
}

void log_writer::write(std::vector<core::log_entry> const& entries)
{
    if (entries.empty() || m_has_failed)
    {
        return;
    }
    if (m_log.append(entries))
    {
        m_on_persisted(entries.back().index, entries.back().entry_term);
    }
    else
    {
        fail();
    }
}

void log_writer::fail()
{
    if (!std::exchange(m_has_failed, true))
    {
        m_on_failed();
    }
}

void log_writer::run_alone(exclusive_work& item)
{
    bool const is_done = !m_has_failed && item.run();
    item.done.set_value(is_done);
    if (!is_done)
    {
        fail();
    }
}

void log_writer::run_alone(reopen_work& item)
{
    auto found = reopen_stores();
    m_has_failed = !found;
    item.on_reopened(std::move(found));
}

std::optional<stored_log> log_writer::reopen_stores()
{
    if (!m_snapshots.sync())
    {
        return std::nullopt;
    }
    auto snapshot = m_snapshots.load_newest();
    if (!snapshot || !m_log.reopen({snapshot->metadata.last_index,
                                    snapshot->metadata.last_term}))
    {
        return std::nullopt;
    }
    return stored_log{std::move(*snapshot), m_log.take_recovered()};
}

} // namespace turmericswitch::control
