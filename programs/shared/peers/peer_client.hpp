#ifndef TURMERICSWITCH_SHARED_PEERS_PEER_CLIENT_HPP
#define TURMERICSWITCH_SHARED_PEERS_PEER_CLIENT_HPP

#include "transport/transport.hpp"

#include <cstdint>
#include <memory>

namespace turmericswitch::shared
{

/// @param random_seed Seed of the random reconnect delays.
/// @param options The protocol version and the source of random numbers are
/// replaced.
/// @return RPC client that uses this build's protocol version.
std::unique_ptr<transport::rpc_client>
make_peer_client(transport::io_pool& io,
                 core::endpoint const& peer,
                 std::uint64_t random_seed,
                 transport::client_options options = {});

} // namespace turmericswitch::shared

#endif
