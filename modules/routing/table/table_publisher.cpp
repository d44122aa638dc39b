#include "routing/table/table_publisher.hpp"

#include <utility>

namespace turmericswitch::routing
{

void table_publisher::publish(std::shared_ptr<route_table const> table)
{
    std::lock_guard const lock(m_mutex);
    m_table = std::move(table);
    m_version.fetch_add(1, std::memory_order_release);
}

std::shared_ptr<route_table const> table_publisher::current() const
{
    std::lock_guard const lock(m_mutex);
    return m_table;
}

table_reader::table_reader(table_publisher const& publisher)
    : m_publisher(&publisher)
{
}

std::shared_ptr<route_table const> const& table_reader::get()
{
    auto const version = m_publisher->version();
    if (version != m_version)
    {
        refresh(version);
    }
    return m_table;
}

void table_reader::refresh(std::uint64_t version)
{
    m_version = version;
    auto shared = m_publisher->current();
    if (shared == nullptr)
    {
        m_table = nullptr;
        return;
    }
    // A control block of its own keeps this thread's reference counts off
    // the cache lines of other threads.
    auto const owner =
        std::make_shared<std::shared_ptr<route_table const>>(std::move(shared));
    m_table = std::shared_ptr<route_table const>(owner, owner->get());
}

} // namespace turmericswitch::routing
