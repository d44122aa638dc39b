#ifndef TURMERICSWITCH_WEB_WEB_HPP
#define TURMERICSWITCH_WEB_WEB_HPP

/// @file
/// Module web: HTTP towards callers, backend servers, workers and operators.
///
/// Debian's CivetWeb is built without IPv6, so this module takes IPv4
/// addresses only.
///
/// Dependencies: core, transport (its threads), CivetWeb, Boost.Beast and
/// nlohmann-json (in the implementation only).

#include "web/client/async_client.hpp"
#include "web/client/http_client.hpp"
#include "web/message/error_response.hpp"
#include "web/message/http_message.hpp"
#include "web/server/http_server.hpp"
#include "web/server/router.hpp"

#endif
