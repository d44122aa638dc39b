#include "shared/control_link/control_link.hpp"

#include "shared/control_link/leader_watcher.hpp"
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

    /// @return The client, and the number of its connection.
    std::pair<std::shared_ptr<transport::rpc_client>, std::uint64_t> current()
    {
        std::lock_guard const lock(mutex);
        if (!client)
        {
            connect(instances[next_instance]);
        }
        return {client, connection};
    }

    /// The caller must hold `mutex`.
    void connect(core::endpoint const& peer)
    {
        client = make_peer_client(io, peer, ++seed);
        ++connection;
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
    void handle_call_failure(std::uint64_t failed)
    {
        // Outlives the lock: a client must not be destroyed under the mutex.
        std::shared_ptr<transport::rpc_client> previous;
        std::lock_guard const lock(mutex);
        if (client && connection == failed)
        {
            previous = client;
            drop_client();
            next_instance = (next_instance + 1) % instances.size();
        }
    }

    void handle_not_leader(std::uint64_t answered_on,
                           std::optional<core::endpoint> const& leader)
    {
        // Outlives the lock: a client must not be destroyed under the mutex.
        std::shared_ptr<transport::rpc_client> previous;
        std::lock_guard const lock(mutex);
        if (!client || connection != answered_on ||
            (leader && client->peer() == *leader))
        {
            return;
        }
        previous = client;
        drop_client();
        if (leader)
        {
            connect(*leader);
            return;
        }
        next_instance = (next_instance + 1) % instances.size();
    }

    /// Must be called on an io thread.
    void update_watcher()
    {
        if (!watcher)
        {
            return;
        }
        std::lock_guard const order(instances_mutex);
        std::vector<core::endpoint> members;
        {
            std::lock_guard const lock(mutex);
            members = instances;
        }
        watcher->set_members(members);
    }

    void handle_announcement(leader_announcement const& announced)
    {
        std::vector<std::shared_ptr<leader_hook const>> called;
        {
            // Outlives the lock: a client must not be destroyed under the
            // mutex.
            std::shared_ptr<transport::rpc_client> previous;
            std::lock_guard const lock(mutex);
            if (!client || client->peer() != announced.leader)
            {
                previous = client;
                drop_client();
                connect(announced.leader);
            }
            std::erase_if(hooks,
                          [&called](auto const& weak)
                          {
                              auto hook = weak.lock();
                              bool const is_gone = !hook;
                              if (hook)
                              {
                                  called.push_back(std::move(hook));
                              }
                              return is_gone;
                          });
        }
        for (auto const& hook : called)
        {
            (*hook)(announced);
        }
    }

    transport::io_pool& io;
    std::vector<core::endpoint> instances;
    std::uint64_t seed;
    /// Keeps the watcher's instances those that were set last. Taken before
    /// `mutex`, and only on io threads.
    std::mutex instances_mutex;
    std::mutex mutex;
    std::size_t next_instance;
    std::shared_ptr<transport::rpc_client> client;
    /// Counts the clients made, so that late results of earlier ones are known.
    std::uint64_t connection = 0;
    std::vector<std::weak_ptr<leader_hook const>> hooks;
    transport::traffic closed_traffic;
    std::unique_ptr<leader_watcher> watcher;
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
                        control_callback done)
{
    auto const [client, connection] = m_state->current();
    // The callback owns neither the link nor the client: a long poll that is
    // open at shutdown would otherwise keep itself alive.
    client->call(std::move(path),
                 std::move(body),
                 timeout,
                 [weak = std::weak_ptr(m_state),
                  connection = connection,
                  done = std::move(done)](transport::call_result result)
                 {
                     auto const shared = weak.lock();
                     if (shared &&
                         result.outcome != transport::call_outcome::answered)
                     {
                         shared->handle_call_failure(connection);
                     }
                     done({std::move(result), connection});
                 });
}

void control_link::not_leader(control_result const& answer,
                              std::optional<core::endpoint> const& leader)
{
    m_state->handle_not_leader(answer.connection, leader);
}

void control_link::watch_leader()
{
    m_state->watcher = std::make_unique<leader_watcher>(
        m_state->io,
        m_state->seed,
        [weak = std::weak_ptr(m_state)](leader_announcement const& announced)
        {
            if (auto const shared = weak.lock())
            {
                shared->handle_announcement(announced);
            }
        });
    m_state->watcher->set_members(m_state->instances);
}

std::shared_ptr<control_link::leader_hook const>
control_link::on_leader(leader_hook hook)
{
    auto owner = std::make_shared<leader_hook const>(std::move(hook));
    std::lock_guard const lock(m_state->mutex);
    m_state->hooks.emplace_back(owner);
    return owner;
}

void control_link::set_instances(std::vector<core::endpoint> instances)
{
    {
        std::lock_guard const lock(m_state->mutex);
        if (instances.empty() || instances == m_state->instances)
        {
            return;
        }
        m_state->next_instance %= instances.size();
        m_state->instances = std::move(instances);
    }
    // Dropped clients must be destroyed on an io thread: elsewhere their
    // destructors wait for callbacks, which may wait for this call.
    m_state->io.post(
        [weak = std::weak_ptr(m_state)]
        {
            if (auto const shared = weak.lock())
            {
                shared->update_watcher();
            }
        });
}

transport::traffic control_link::transferred() const
{
    transport::traffic total;
    if (m_state->watcher)
    {
        total = m_state->watcher->transferred();
    }
    std::lock_guard const lock(m_state->mutex);
    total.sent += m_state->closed_traffic.sent;
    total.received += m_state->closed_traffic.received;
    if (m_state->client)
    {
        auto const [sent, received] = m_state->client->transferred();
        total.sent += sent;
        total.received += received;
    }
    return total;
}

} // namespace turmericswitch::shared
