#ifndef TURMERICSWITCH_WEB_MESSAGE_HTTP_MESSAGE_HPP
#define TURMERICSWITCH_WEB_MESSAGE_HTTP_MESSAGE_HPP

#include "core/messages/request_path.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::web
{

/// A complete request; `target` is the path with the query, still
/// percent-encoded.
using http_request = core::request_content;
/// A complete response. Content-Length and Connection are added when it is
/// written.
using http_response = core::answer_content;

/// @return The value of the first field with this name, ignoring case, or null.
std::string const* find_field(std::vector<core::http_field> const& fields,
                              std::string_view name);

/// @return True for hop-by-hop and framing fields (Connection, Content-Length,
/// Transfer-Encoding and the like), which are never forwarded.
bool is_connection_field(std::string_view name);

/// @return A response with status 200 and this content type.
http_response text_response(std::string body,
                            std::string content_type = "text/plain");

/// @return A response with status 200 and content type application/json.
http_response json_response(std::string body);

/// @return True if both are equal, ignoring ASCII case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

} // namespace turmericswitch::web

#endif
