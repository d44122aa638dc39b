#include "shared/control_link/leader_watcher.hpp"

#include "process/loop/event_loop.hpp"
#include "shared/peers/peer_client.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace turmericswitch::shared
{

namespace
{

/// Bounds how long a connection may be silent unnoticed, at the cost of one
/// wake-up per connection and interval.
constexpr core::duration keepalive_interval = std::chrono::seconds(15);
/// Time beyond the hold after which a call counts as lost.
constexpr core::duration answer_timeout = std::chrono::seconds(2);

} // namespace

struct leader_watcher::state
    : std::enable_shared_from_this<leader_watcher::state>
{
    using client_pointer = std::shared_ptr<transport::rpc_client>;

    state(transport::io_pool& pool,
          std::uint64_t random_seed,
          announcement_hook hook)
        : io(pool),
          seed(random_seed),
          on_leader(std::move(hook)),
          watch(core::seeded_random(random_seed))
    {
    }

    void set_members(std::vector<core::endpoint> const& members)
    {
        // Outlives the lock: a client must not be destroyed under the mutex.
        std::vector<client_pointer> dropped;
        {
            std::lock_guard const lock(mutex);
            watch.set_members(process::event_loop::now(), members);
            std::erase_if(clients,
                          [&](auto const& item)
                          {
                              if (std::find(members.begin(),
                                            members.end(),
                                            item.first) != members.end())
                              {
                                  return false;
                              }
                              drop(item.second, dropped);
                              return true;
                          });
        }
        begin_due_calls();
    }

    void stop()
    {
        std::vector<client_pointer> dropped;
        std::lock_guard const lock(mutex);
        is_stopped = true;
        for (auto const& [member, client] : clients)
        {
            drop(client, dropped);
        }
        clients.clear();
    }

    /// The caller must hold `mutex`.
    void drop(client_pointer const& client,
              std::vector<client_pointer>& dropped)
    {
        auto const [sent, received] = client->transferred();
        closed_traffic.sent += sent;
        closed_traffic.received += received;
        dropped.push_back(client);
    }

    /// The caller must hold `mutex`.
    client_pointer client_of(core::endpoint const& member)
    {
        auto& client = clients[member];
        if (!client)
        {
            transport::client_options options;
            options.connection.keepalive_interval = keepalive_interval;
            client = make_peer_client(io, member, ++seed, std::move(options));
        }
        return client;
    }

    void begin_due_calls()
    {
        std::vector<std::pair<client_pointer, leader_watch_call>> due;
        {
            std::lock_guard const lock(mutex);
            if (is_stopped)
            {
                return;
            }
            for (auto& call : watch.take_due(process::event_loop::now()))
            {
                auto client = client_of(call.member);
                due.emplace_back(std::move(client), std::move(call));
            }
            schedule_next();
        }
        for (auto const& [client, call] : due)
        {
            // The callback owns neither the watcher nor the client: an open
            // call would otherwise keep them alive at shutdown.
            client->call("/leader-watch",
                         wire::encode(call.request),
                         call.request.max_wait + answer_timeout,
                         [weak = weak_from_this(), member = call.member](
                             transport::call_result const& result)
                         {
                             if (auto const self = weak.lock())
                             {
                                 self->handle_result(member, result);
                             }
                         });
        }
    }

    /// The caller must hold `mutex`.
    void schedule_next()
    {
        auto const due = watch.next_due();
        if (!due || (timer_due && *timer_due <= *due))
        {
            return;
        }
        timer_due = due;
        auto const now = process::event_loop::now();
        io.post_after(std::max(*due - now, core::duration{}),
                      [weak = weak_from_this(), due = *due]
                      {
                          if (auto const self = weak.lock())
                          {
                              self->handle_timer(due);
                          }
                      });
    }

    void handle_timer(core::time_point due)
    {
        {
            std::lock_guard const lock(mutex);
            if (timer_due == due)
            {
                timer_due.reset();
            }
        }
        begin_due_calls();
    }

    void handle_result(core::endpoint const& member,
                       transport::call_result const& result)
    {
        auto const answer =
            result.outcome == transport::call_outcome::answered
                ? wire::decode<core::leader_watch_answer>(result.body)
                : std::nullopt;
        // Keeps the hook's calls in the order of the terms.
        std::lock_guard const hook_lock(hook_mutex);
        std::optional<leader_announcement> announced;
        {
            std::lock_guard const lock(mutex);
            if (is_stopped)
            {
                return;
            }
            auto const now = process::event_loop::now();
            if (answer)
            {
                announced = watch.answered(now, member, *answer);
            }
            else
            {
                watch.failed(now, member, result.code);
            }
        }
        if (announced)
        {
            on_leader(*announced);
        }
        begin_due_calls();
    }

    transport::io_pool& io;
    std::uint64_t seed;
    announcement_hook on_leader;
    std::mutex hook_mutex;
    mutable std::mutex mutex;
    leader_watch watch;
    std::map<core::endpoint, client_pointer> clients;
    std::optional<core::time_point> timer_due;
    transport::traffic closed_traffic;
    bool is_stopped = false;
};

leader_watcher::leader_watcher(transport::io_pool& io,
                               std::uint64_t random_seed,
                               announcement_hook on_leader)
    : m_state(std::make_shared<state>(io, random_seed, std::move(on_leader)))
{
}

leader_watcher::~leader_watcher()
{
    m_state->stop();
}

void leader_watcher::set_members(std::vector<core::endpoint> const& members)
{
    m_state->set_members(members);
}

transport::traffic leader_watcher::transferred() const
{
    std::lock_guard const lock(m_state->mutex);
    auto total = m_state->closed_traffic;
    for (auto const& [member, client] : m_state->clients)
    {
        auto const [sent, received] = client->transferred();
        total.sent += sent;
        total.received += received;
    }
    return total;
}

} // namespace turmericswitch::shared
