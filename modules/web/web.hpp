#ifndef TURMERICSWITCH_WEB_WEB_HPP
#define TURMERICSWITCH_WEB_WEB_HPP

/// @file
/// Module web: HTTP server and clients for callers, backend servers, workers
/// and operators.
///
/// Only IPv4 addresses are supported, because Debian builds CivetWeb without
/// IPv6.
///
/// Dependencies: core, transport (its I/O threads), CivetWeb, Boost.Beast and
/// nlohmann-json (in the implementation only).

#include "web/client/async_client.hpp"
#include "web/client/http_client.hpp"
#include "web/message/error_response.hpp"
#include "web/message/http_message.hpp"
#include "web/server/http_server.hpp"
#include "web/server/router.hpp"

#endif
