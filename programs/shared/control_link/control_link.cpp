#include "shared/control_link/control_link.hpp"

#include "shared/peers/peer_client.hpp"

#include <cassert>
#include <mutex>
#include <utility>

namespace turmericswitch::shared
{

struct control_link::state
{
    state(transport::io_pool& pool,
          std::vector<core::endpoint> endpoints,
          std::uint64_t random_seed)
        : io(pool),
          instances(std::move(endpoints)),
          seed(random_seed),
          // Spreads the first calls of many processes over the instances.
          next_instance(random_seed % instances.size())
    {
    }

    std::shared_ptr<transport::rpc_client> current()
    {
        std::lock_guard const lock(mutex);
        if (!client)
        {
            client = make_peer_client(io, instances[next_instance], ++seed);
        }
        return client;
    }

    /// The caller must hold `mutex`.
    void drop_client()
    {
        if (client)
        {
            auto const [sent, received] = client->transferred();
            closed_traffic.sent += sent;
            closed_traffic.received += received;
            client.reset();
        }
    }

    /// Switches to the next instance unless that has already happened.
    void handle_call_failure(transport::rpc_client const* failed)
    {
        // Outlives the lock: a client must not be destroyed under the mutex.
        std::shared_ptr<transport::rpc_client> previous;
        std::lock_guard const lock(mutex);
        if (client.get() == failed)
        {
            previous = client;
            drop_client();
            next_instance = (next_instance + 1) % instances.size();
        }
    }

    void handle_not_leader(std::optional<core::endpoint> const& leader)
    {
        // Outlives the lock: a client must not be destroyed under the mutex.
        std::shared_ptr<transport::rpc_client> previous;
        std::lock_guard const lock(mutex);
        if (client && leader && client->peer() == *leader)
        {
            return;
        }
        previous = client;
        drop_client();
        if (leader)
        {
            client = make_peer_client(io, *leader, ++seed);
            return;
        }
        next_instance = (next_instance + 1) % instances.size();
    }

    transport::io_pool& io;
    std::vector<core::endpoint> instances;
    std::uint64_t seed;
    std::mutex mutex;
    std::size_t next_instance;
    std::shared_ptr<transport::rpc_client> client;
    transport::traffic closed_traffic;
};

control_link::control_link(transport::io_pool& io,
                           std::vector<core::endpoint> instances,
                           std::uint64_t random_seed)
{
    assert(!instances.empty());
    m_state = std::make_shared<state>(io, std::move(instances), random_seed);
}

void control_link::call(std::string path,
                        std::string body,
                        core::duration timeout,
                        transport::call_callback done)
{
    auto const client = m_state->current();
    // The callback owns neither the link nor the client: a long poll that is
    // open at shutdown would otherwise keep itself alive.
    client->call(std::move(path),
                 std::move(body),
                 timeout,
                 [weak = std::weak_ptr(m_state),
                  target = client.get(),
                  done = std::move(done)](transport::call_result result)
                 {
                     auto const shared = weak.lock();
                     if (shared &&
                         result.outcome != transport::call_outcome::answered)
                     {
                         shared->handle_call_failure(target);
                     }
                     done(std::move(result));
                 });
}

void control_link::not_leader(std::optional<core::endpoint> const& leader)
{
    m_state->handle_not_leader(leader);
}

void control_link::set_instances(std::vector<core::endpoint> instances)
{
    std::lock_guard const lock(m_state->mutex);
    if (!instances.empty() && instances != m_state->instances)
    {
        m_state->next_instance %= instances.size();
        m_state->instances = std::move(instances);
    }
}

transport::traffic control_link::transferred() const
{
    std::lock_guard const lock(m_state->mutex);
    auto total = m_state->closed_traffic;
    if (m_state->client)
    {
        auto const [sent, received] = m_state->client->transferred();
        total.sent += sent;
        total.received += received;
    }
    return total;
}

} // namespace turmericswitch::shared
