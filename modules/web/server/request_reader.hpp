#ifndef TURMERICSWITCH_WEB_SERVER_REQUEST_READER_HPP
#define TURMERICSWITCH_WEB_SERVER_REQUEST_READER_HPP

#include "web/message/http_message.hpp"

#include <cstddef>
#include <optional>

struct mg_connection;

namespace turmericswitch::web
{

/// Reads one complete request from CivetWeb.
///
/// @param body_limit Largest body, in bytes.
/// @return The request, or nothing when it is malformed, incomplete or too
/// large; last_reason() then has the code. The connection must be closed in
/// this case, because the rest of the body is unread.
std::optional<http_request> read_request(mg_connection* connection,
                                         std::size_t body_limit);

} // namespace turmericswitch::web

#endif
