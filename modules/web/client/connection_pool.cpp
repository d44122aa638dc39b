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

connection_pool::connection_pool(std::size_t limit, core::duration idle_timeout)
    : m_limit(limit), m_idle_timeout(idle_timeout)
{
}

connection_pool::shard& connection_pool::shard_of_this_thread()
{
    std::size_t const hash =
        std::hash<std::thread::id>{}(std::this_thread::get_id());
    return m_shards[hash % shard_count];
}

void connection_pool::close_expired(std::vector<idle_connection>& list) const
{
    auto const oldest = clock::now() - m_idle_timeout;
    std::erase_if(list,
                  [oldest](idle_connection const& one)
                  { return one.since < oldest; });
}

connection_pointer connection_pool::take(core::endpoint const& peer)
{
    shard& current = shard_of_this_thread();
    std::lock_guard const lock(current.mutex);
    auto const found = current.idle.find(peer);
    if (found == current.idle.end())
    {
        return nullptr;
    }
    auto& list = found->second;
    close_expired(list);
    if (list.empty())
    {
        current.idle.erase(found);
        return nullptr;
    }
    connection_pointer last = std::move(list.back().connection);
    list.pop_back();
    return last;
}

void connection_pool::give_back(core::endpoint const& peer,
                                connection_pointer connection)
{
    shard& current = shard_of_this_thread();
    std::lock_guard const lock(current.mutex);
    auto& list = current.idle[peer];
    close_expired(list);
    if (list.size() < m_limit)
    {
        list.push_back({std::move(connection), clock::now()});
    }
}

} // namespace turmericswitch::web
