#ifndef TURMERICSWITCH_WEB_SERVER_RESPONSE_WRITER_HPP
#define TURMERICSWITCH_WEB_SERVER_RESPONSE_WRITER_HPP

#include "web/message/http_message.hpp"

#include <string_view>

struct mg_connection;

namespace turmericswitch::web
{

/// Writes one complete response.
///
/// @param method Method of the request; a response to HEAD has no body.
/// @param keep_open False adds "Connection: close" and makes CivetWeb close the
/// connection.
void write_response(mg_connection* connection,
                    http_response const& response,
                    std::string_view method,
                    bool keep_open);

} // namespace turmericswitch::web

#endif
