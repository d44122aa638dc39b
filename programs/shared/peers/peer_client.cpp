#include "shared/peers/peer_client.hpp"

#include "wire/codec/protocol_version.hpp"

#include <utility>

namespace turmericswitch::shared
{

std::unique_ptr<transport::rpc_client>
make_peer_client(transport::io_pool& io,
                 core::endpoint const& peer,
                 std::uint64_t random_seed,
                 transport::client_options options)
{
    options.connection.protocol_version = wire::protocol_version;
    options.random = core::seeded_random(random_seed);
    return std::make_unique<transport::rpc_client>(
        io, peer, std::move(options));
}

} // namespace turmericswitch::shared
