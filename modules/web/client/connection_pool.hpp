#ifndef TURMERICSWITCH_WEB_CLIENT_CONNECTION_POOL_HPP
#define TURMERICSWITCH_WEB_CLIENT_CONNECTION_POOL_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

struct mg_connection;

namespace turmericswitch::web
{

/// Deleter that closes a CivetWeb client connection.
struct connection_closer
{
    void operator()(mg_connection* connection) const;
};

using connection_pointer = std::unique_ptr<mg_connection, connection_closer>;

/// Keeps idle connections for reuse.
///
/// It is sharded by thread id to reduce lock contention.
class connection_pool
{
public:
    /// @param limit Connections kept per peer and shard.
    /// @param idle_timeout Older connections are closed instead of reused.
    connection_pool(std::size_t limit, core::duration idle_timeout);

    /// @return The connection that this thread's shard received last, or null
    /// when it has none.
    connection_pointer take(core::endpoint const& peer);

    /// Keeps the connection for reuse, or closes it when the limit is reached.
    void give_back(core::endpoint const& peer, connection_pointer connection);

private:
    using clock = std::chrono::steady_clock;

    struct idle_connection
    {
        connection_pointer connection;
        clock::time_point since;
    };

    struct shard
    {
        std::mutex mutex;
        std::map<core::endpoint, std::vector<idle_connection>> idle;
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of_this_thread();
    void close_expired(std::vector<idle_connection>& list) const;

    std::size_t m_limit;
    core::duration m_idle_timeout;
    std::array<shard, shard_count> m_shards;
};

} // namespace turmericswitch::web

#endif
