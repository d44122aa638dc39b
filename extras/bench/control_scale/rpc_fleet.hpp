#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_RPC_FLEET_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_RPC_FLEET_HPP

#include "control_scale/measurements.hpp"
#include "control_scale/scale_options.hpp"
#include "transport/transport.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace turmericswitch::bench
{

/// Messages and bytes of all peers of one role.
struct rpc_totals
{
    std::uint64_t messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
};

/// Simulated sidecars and gateways. Each has its own connection and uses the
/// control link and configuration watch of the production programs.
class rpc_fleet
{
public:
    rpc_fleet(scale_options const& options, transport::io_pool& io);
    /// Stops the announcements.
    ~rpc_fleet();

    rpc_fleet(rpc_fleet const&) = delete;
    rpc_fleet& operator=(rpc_fleet const&) = delete;

    rpc_totals sidecars() const;
    rpc_totals gateways() const;

    /// @return Number of peers that have this revision or a later one in force.
    std::size_t count_in_force(core::revision wanted) const;
    std::size_t size() const noexcept;
    /// @return Minimum over the gateways of the number of known backend
    /// servers.
    std::size_t known_backends() const;

private:
    struct peer;

    void start(std::shared_ptr<peer> const& node, std::size_t number);
    static rpc_totals total(std::vector<std::shared_ptr<peer>> const& peers);

    scale_options m_options;
    transport::io_pool& m_io;
    std::vector<std::shared_ptr<peer>> m_sidecars;
    std::vector<std::shared_ptr<peer>> m_gateways;
};

} // namespace turmericswitch::bench

#endif
