#ifndef TURMERICSWITCH_WEB_MESSAGE_ERROR_RESPONSE_HPP
#define TURMERICSWITCH_WEB_MESSAGE_ERROR_RESPONSE_HPP

#include "core/results/result_code.hpp"
#include "web/message/http_message.hpp"

#include <string>

namespace turmericswitch::web
{

/// @return The HTTP status of a result code, 500 by default.
std::uint16_t http_status(core::result_code code);

/// @return An error response with the body
/// {"code":n,"name":"...","text":"..."}.
///
/// @param code Gives the number, the name and the HTTP status.
/// @param text The cause, as one human-readable sentence.
http_response error_response(core::result_code code, std::string const& text);

} // namespace turmericswitch::web

#endif
