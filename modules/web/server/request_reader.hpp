#ifndef TURMERICSWITCH_WEB_SERVER_REQUEST_READER_HPP
#define TURMERICSWITCH_WEB_SERVER_REQUEST_READER_HPP

#include "web/message/http_message.hpp"

#include <cstddef>
#include <optional>

struct mg_connection;

namespace turmericswitch::web
{

/// Reads one whole request from CivetWeb.
///
/// @return Nothing when the request is malformed, cut off or too large;
/// last_reason() has the code. The connection must then be closed, because
/// the rest of the body is unread.
std::optional<http_request> read_request(mg_connection* connection,
                                         std::size_t body_limit);

} // namespace turmericswitch::web

#endif
