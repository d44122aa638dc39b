#ifndef TURMERICSWITCH_CORE_HOOKS_SNAPSHOT_PUBLISHER_HPP
#define TURMERICSWITCH_CORE_HOOKS_SNAPSHOT_PUBLISHER_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace turmericswitch::core
{

/// Holds the value in force for all threads (read-copy-update). One thread
/// publishes; every other thread reads through its own `snapshot_reader`.
template <typename Value>
class snapshot_publisher
{
public:
    /// Replaces the value. Readers keep the one they hold.
    void publish(std::shared_ptr<Value const> value)
    {
        std::lock_guard const lock(m_mutex);
        m_value = std::move(value);
        m_version.fetch_add(1, std::memory_order_release);
    }

    /// @return The number of values published so far.
    std::uint64_t version() const noexcept
    {
        return m_version.load(std::memory_order_acquire);
    }

    /// @return The value in force, or null before the first.
    std::shared_ptr<Value const> current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_value;
    }

private:
    std::atomic<std::uint64_t> m_version{0};
    mutable std::mutex m_mutex;
    std::shared_ptr<Value const> m_value;
};

/// Gives one thread the value in force. Own one per thread.
///
/// The lock of the publisher is taken once per thread and change. In between,
/// a read is one load of a version and one reference count that no other
/// thread writes.
template <typename Value>
class snapshot_reader
{
public:
    /// @param publisher Must outlive the reader.
    explicit snapshot_reader(snapshot_publisher<Value> const& publisher)
        : m_publisher(&publisher)
    {
    }

    /// @return The value in force, or null before the first.
    std::shared_ptr<Value const> const& get()
    {
        if (auto const version = m_publisher->version(); version != m_version)
        {
            // The version is read first, so a value published in between is
            // read again the next time.
            refresh();
            m_version = version;
        }
        return m_value;
    }

private:
    void refresh()
    {
        // A control block of its own keeps this thread's reference counts off
        // the cache lines of other threads.
        auto const owner = std::make_shared<std::shared_ptr<Value const>>(
            m_publisher->current());
        m_value = *owner ? std::shared_ptr<Value const>(owner, owner->get())
                         : nullptr;
    }

    snapshot_publisher<Value> const* m_publisher;
    std::uint64_t m_version = 0;
    std::shared_ptr<Value const> m_value;
};

} // namespace turmericswitch::core

#endif
