#include "web/client/connection_pool.hpp"

#include <civetweb.h>

#include <functional>
#include <thread>

namespace turmericswitch::web
{

void connection_closer::operator()(mg_connection* connection) const
{
    mg_close_connection(connection);
}

connection_pool::connection_pool(std::size_t limit, core::duration idle_time)
    : m_limit(limit), m_idle_time(idle_time)
{
}

connection_pool::part& connection_pool::own_part()
{
    std::size_t const hash =
        std::hash<std::thread::id>{}(std::this_thread::get_id());
    return m_parts[hash % part_count];
}

void connection_pool::drop_old(std::vector<idle_connection>& list) const
{
    auto const oldest = clock::now() - m_idle_time;
    std::erase_if(list,
                  [oldest](idle_connection const& one)
                  { return one.since < oldest; });
}

connection_pointer connection_pool::take(core::endpoint const& peer)
{
    part& own = own_part();
    std::lock_guard const lock(own.mutex);
    auto const found = own.idle.find(peer);
    if (found == own.idle.end())
    {
        return nullptr;
    }
    auto& list = found->second;
    drop_old(list);
    if (list.empty())
    {
        own.idle.erase(found);
        return nullptr;
    }
    connection_pointer last = std::move(list.back().connection);
    list.pop_back();
    return last;
}

void connection_pool::give_back(core::endpoint const& peer,
                                connection_pointer connection)
{
    part& own = own_part();
    std::lock_guard const lock(own.mutex);
    auto& list = own.idle[peer];
    drop_old(list);
    if (list.size() < m_limit)
    {
        list.push_back({std::move(connection), clock::now()});
    }
}

} // namespace turmericswitch::web
