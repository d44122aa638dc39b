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
/// As in the sidecar: announces per lease.
constexpr int announces_per_lease = 3;
/// The first messages of the peers are spread over this time.
constexpr core::duration start_spread = 2s;

core::backend_entry describe(std::size_t number, std::uint64_t life)
{
    core::backend_entry entry;
    entry.backend = core::backend_id("backend-" + std::to_string(number));
    entry.sidecar = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)};
    entry.sidecar_incarnation = core::incarnation(life);
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
              [this](core::watch_answer const& news) { return take(news); },
              scope_of(announced_entry)),
          entry(std::move(announced_entry))
    {
    }

    shared::config_watch::known_state take(core::watch_answer const& news)
    {
        revision = std::max(revision.load(), news.current.value());
        if (news.whole_registry)
        {
            backends.clear();
        }
        for (auto const& each : news.changed)
        {
            backends.insert(each.backend);
        }
        for (auto const& each : news.removed)
        {
            backends.erase(each);
        }
        known = backends.size();
        return {news.current, news.registry};
    }

    void announce()
    {
        core::announce_request request{*entry, core::revision(revision.load())};
        link.call(
            "/announce",
            wire::encode(request),
            announce_timeout,
            [weak = weak_from_this()](transport::call_result const& result)
            {
                if (auto const self = weak.lock())
                {
                    self->announced(result);
                }
            });
    }

    void announced(transport::call_result const& result)
    {
        auto const answer =
            result.outcome == transport::call_outcome::answered
                ? wire::decode<core::announce_answer>(result.body)
                : std::nullopt;
        auto pause = announce_retry;
        if (answer && answer->code == core::result_code::not_leader)
        {
            link.not_leader(answer->leader);
        }
        else if (answer)
        {
            ++announces;
            pause = answer->lease / announces_per_lease;
        }
        io.post_after(pause,
                      [weak = weak_from_this()]
                      {
                          auto const self = weak.lock();
                          if (self && !self->is_stopped)
                          {
                              self->announce();
                          }
                      });
    }

    transport::io_pool& io;
    shared::control_link link;
    std::atomic<std::uint64_t> revision = 0;
    std::atomic<std::uint64_t> announces = 0;
    std::atomic<std::size_t> known = 0;
    std::atomic<bool> is_stopped = false;
    std::set<core::backend_id> backends;
    shared::config_watch watch;
    std::optional<core::backend_entry> entry;
};

rpc_fleet::rpc_fleet(scale_options const& options, transport::io_pool& io)
    : m_options(options), m_io(io)
{
    auto const life = static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
    for (std::size_t i = 0; i < options.sidecars; ++i)
    {
        auto const name = "sidecar backend-" + std::to_string(i);
        m_sidecars.push_back(std::make_shared<peer>(
            io, options.rpc, name, i, describe(i, life)));
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
    for (auto const& each : m_sidecars)
    {
        each->is_stopped = true;
    }
}

void rpc_fleet::start(std::shared_ptr<peer> const& each, std::size_t number)
{
    auto const all = m_options.sidecars + m_options.gateways;
    m_io.post_after(start_spread * static_cast<std::int64_t>(number) /
                        static_cast<std::int64_t>(all),
                    [each]
                    {
                        each->watch.start();
                        if (each->entry)
                        {
                            each->announce();
                        }
                    });
}

rpc_totals rpc_fleet::total(std::vector<std::shared_ptr<peer>> const& peers)
{
    rpc_totals sum;
    for (auto const& each : peers)
    {
        auto const [sent, received] = each->link.transferred();
        sum.messages += each->announces + each->watch.answers();
        sum.sent += sent;
        sum.received += received;
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

std::size_t rpc_fleet::in_force(core::revision wanted) const
{
    auto const has = [wanted](std::shared_ptr<peer> const& each)
    { return each->revision >= wanted.value(); };
    return static_cast<std::size_t>(
        std::count_if(m_sidecars.begin(), m_sidecars.end(), has) +
        std::count_if(m_gateways.begin(), m_gateways.end(), has));
}

std::size_t rpc_fleet::size() const noexcept
{
    return m_sidecars.size() + m_gateways.size();
}

std::size_t rpc_fleet::known_backends() const
{
    std::size_t fewest = m_gateways.empty() ? 0 : m_sidecars.size();
    for (auto const& each : m_gateways)
    {
        fewest = std::min(fewest, each->known.load());
    }
    return fewest;
}

} // namespace turmericswitch::bench
