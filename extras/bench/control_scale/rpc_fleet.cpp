#include "control_scale/rpc_fleet.hpp"

#include "control_scale/job_stream.hpp"
#include "process/loop/event_loop.hpp"
#include "shared/control_link/config_watch.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <set>

namespace turmericswitch::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration announce_timeout = 2s;
constexpr core::duration announce_retry = 300ms;
/// Announcements per lease, the same as in the sidecar program.
constexpr int announces_per_lease = 3;
/// Peers start evenly distributed over this time.
constexpr core::duration start_spread = 2s;

core::backend_entry describe(std::size_t number, std::uint64_t incarnation)
{
    core::backend_entry entry;
    entry.backend = core::backend_id("backend-" + std::to_string(number));
    entry.sidecar = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)};
    entry.sidecar_incarnation = core::incarnation(incarnation);
    entry.place.zone = zone_name(number);
    entry.service = core::service_id("service-" + std::to_string(number / 10));
    entry.slots = 8;
    entry.connections = 60;
    return entry;
}

std::optional<core::backend_scope>
scope_of(std::optional<core::backend_entry> const& entry)
{
    return entry ? std::optional(core::backend_scope{
                       entry->backend, entry->service, entry->place.zone})
                 : std::nullopt;
}

} // namespace

struct rpc_fleet::peer : std::enable_shared_from_this<rpc_fleet::peer>
{
    peer(transport::io_pool& pool,
         std::vector<core::endpoint> control,
         std::string const& name,
         std::uint64_t seed,
         std::optional<core::backend_entry> announced_entry)
        : io(pool),
          link(pool, std::move(control), seed),
          watch(
              pool,
              link,
              core::client_id(name),
              [this](core::watch_answer const& update)
              { return apply_update(update); },
              shared::watch_options{scope_of(announced_entry)}),
          entry(std::move(announced_entry))
    {
    }

    shared::config_watch::known_state
    apply_update(core::watch_answer const& update)
    {
        revision = std::max(revision.load(), update.current.value());
        if (update.whole_registry)
        {
            backends.clear();
        }
        for (auto const& backend : update.changed)
        {
            backends.insert(backend.backend);
        }
        for (auto const& backend : update.removed)
        {
            backends.erase(backend);
        }
        known_backend_count = backends.size();
        return {update.current, update.registry};
    }

    void announce()
    {
        core::announce_request request{*entry, core::revision(revision.load())};
        link.call(
            "/announce",
            wire::encode(request),
            announce_timeout,
            [weak = weak_from_this()](shared::control_result const& result)
            {
                if (auto const self = weak.lock())
                {
                    self->handle_announce_result(result);
                }
            });
    }

    void handle_announce_result(shared::control_result const& result)
    {
        auto const answer =
            result.outcome == transport::call_outcome::answered
                ? wire::decode<core::announce_answer>(result.body)
                : std::nullopt;
        auto pause = announce_retry;
        if (answer && answer->code == core::result_code::not_leader)
        {
            link.not_leader(result, answer->leader);
        }
        else if (answer)
        {
            ++announce_count;
            pause = answer->lease / announces_per_lease;
        }
        io.post_after(pause,
                      [weak = weak_from_this()]
                      {
                          auto const self = weak.lock();
                          if (self && !self->is_stopping)
                          {
                              self->announce();
                          }
                      });
    }

    transport::io_pool& io;
    shared::control_link link;
    std::atomic<std::uint64_t> revision = 0;
    std::atomic<std::uint64_t> announce_count = 0;
    std::atomic<std::size_t> known_backend_count = 0;
    std::atomic<bool> is_stopping = false;
    std::set<core::backend_id> backends;
    shared::config_watch watch;
    std::optional<core::backend_entry> entry;
};

rpc_fleet::rpc_fleet(scale_options const& options, transport::io_pool& io)
    : m_options(options), m_io(io)
{
    auto const incarnation = static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
    for (std::size_t i = 0; i < options.sidecars; ++i)
    {
        auto const name = "sidecar backend-" + std::to_string(i);
        m_sidecars.push_back(std::make_shared<peer>(
            io, options.rpc, name, i, describe(i, incarnation)));
        start(m_sidecars.back(), i);
    }
    for (std::size_t i = 0; i < options.gateways; ++i)
    {
        auto const name = "gateway-" + std::to_string(i);
        m_gateways.push_back(
            std::make_shared<peer>(io, options.rpc, name, i, std::nullopt));
        start(m_gateways.back(), i);
    }
}

rpc_fleet::~rpc_fleet()
{
    for (auto const& node : m_sidecars)
    {
        node->is_stopping = true;
    }
}

void rpc_fleet::start(std::shared_ptr<peer> const& node, std::size_t number)
{
    auto const total_peers = m_options.sidecars + m_options.gateways;
    m_io.post_after(start_spread * static_cast<std::int64_t>(number) /
                        static_cast<std::int64_t>(total_peers),
                    [node]
                    {
                        node->watch.start();
                        if (node->entry)
                        {
                            node->announce();
                        }
                    });
}

rpc_totals rpc_fleet::total(std::vector<std::shared_ptr<peer>> const& peers)
{
    rpc_totals sum;
    for (auto const& node : peers)
    {
        auto const [sent, received] = node->link.transferred();
        sum.messages += node->announce_count + node->watch.answers();
        sum.sent_bytes += sent;
        sum.received_bytes += received;
    }
    return sum;
}

rpc_totals rpc_fleet::sidecars() const
{
    return total(m_sidecars);
}

rpc_totals rpc_fleet::gateways() const
{
    return total(m_gateways);
}

std::size_t rpc_fleet::count_in_force(core::revision wanted) const
{
    auto const has_revision = [wanted](std::shared_ptr<peer> const& node)
    { return node->revision >= wanted.value(); };
    return static_cast<std::size_t>(
        std::count_if(m_sidecars.begin(), m_sidecars.end(), has_revision) +
        std::count_if(m_gateways.begin(), m_gateways.end(), has_revision));
}

std::size_t rpc_fleet::size() const noexcept
{
    return m_sidecars.size() + m_gateways.size();
}

std::size_t rpc_fleet::known_backends() const
{
    std::size_t min_backends = m_gateways.empty() ? 0 : m_sidecars.size();
    for (auto const& node : m_gateways)
    {
        min_backends = std::min(min_backends, node->known_backend_count.load());
    }
    return min_backends;
}

} // namespace turmericswitch::bench
