#ifndef TURMERICSWITCH_TRANSPORT_TRANSPORT_HPP
#define TURMERICSWITCH_TRANSPORT_TRANSPORT_HPP

/// @file
/// Module transport: RPC between the processes of the scheduler, one HTTP/2
/// stream per call.
///
/// A caller learns for each call whether it was answered, certainly not
/// processed, or lost with unknown outcome.
///
/// Dependencies: core, nghttp2 and Boost.Asio (in the implementation only).

#include "transport/io/io_pool.hpp"
#include "transport/rpc/responder.hpp"
#include "transport/rpc/rpc_client.hpp"
#include "transport/rpc/rpc_limits.hpp"
#include "transport/rpc/rpc_server.hpp"

#endif
