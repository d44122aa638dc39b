#ifndef TURMERICSWITCH_WEB_MESSAGE_ERROR_RESPONSE_HPP
#define TURMERICSWITCH_WEB_MESSAGE_ERROR_RESPONSE_HPP

#include "core/results/result_code.hpp"
#include "web/message/http_message.hpp"

#include <string>

namespace turmericswitch::web
{

/// @return The HTTP status of a result code; 500 for codes without a row in
/// the table.
std::uint16_t http_status(core::result_code code);

/// Error answer with the body {"code":n,"name":"...","text":"..."}.
///
/// @param code Gives the number, the name and the HTTP status.
/// @param text One sentence for people.
http_response error_response(core::result_code code, std::string const& text);

} // namespace turmericswitch::web

#endif
