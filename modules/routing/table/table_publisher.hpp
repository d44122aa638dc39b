#ifndef TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP
#define TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP

#include "routing/table/route_table.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace turmericswitch::routing
{

/// Holds the table in force for all threads of a gateway. The watching
/// thread publishes; every other thread reads through its own
/// `table_reader`.
class table_publisher
{
public:
    /// Replaces the table. Requests in progress keep the one they hold.
    void publish(std::shared_ptr<route_table const> table);

    /// @return The number of tables published so far.
    std::uint64_t version() const noexcept
    {
        return m_version.load(std::memory_order_acquire);
    }

    /// @return The table in force, or null before the first.
    std::shared_ptr<route_table const> current() const;

private:
    std::atomic<std::uint64_t> m_version{0};
    mutable std::mutex m_mutex;
    std::shared_ptr<route_table const> m_table;
};

/// Gives one thread the table in force. Own one per thread.
///
/// The lock of the publisher is taken once per thread and table change. In
/// between, a read is one load of a version and one reference count that no
/// other thread writes. docs/routing.md has the measurement.
class table_reader
{
public:
    /// @param publisher Must outlive the reader.
    explicit table_reader(table_publisher const& publisher);

    /// @return The table in force, or null before the first.
    std::shared_ptr<route_table const> const& get();

private:
    void refresh(std::uint64_t version);

    table_publisher const* m_publisher;
    std::uint64_t m_version = 0;
    std::shared_ptr<route_table const> m_table;
};

} // namespace turmericswitch::routing

#endif
