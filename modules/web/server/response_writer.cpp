#include "web/server/response_writer.hpp"

#include <civetweb.h>

#include <algorithm>

namespace turmericswitch::web
{

namespace
{

// A line break in a field would allow header injection.
bool is_safe(core::http_field const& field)
{
    constexpr std::string_view breaks("\r\n\0", 3);
    return field.name.find_first_of(breaks) == std::string::npos &&
           field.value.find_first_of(breaks) == std::string::npos;
}

bool has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string response_head(mg_connection* connection,
                          http_response const& response,
                          bool keep_open)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       mg_get_response_code_text(connection, response.status) +
                       "\r\n";
    for (auto const& field : response.fields)
    {
        if (!is_connection_field(field.name) && is_safe(field))
        {
            head.append(field.name).append(": ").append(field.value);
            head += "\r\n";
        }
    }
    if (has_body(response.status))
    {
        head +=
            "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    head += keep_open ? "Connection: keep-alive\r\n\r\n"
                      : "Connection: close\r\n\r\n";
    return head;
}

} // namespace

void write_response(mg_connection* connection,
                    http_response const& response,
                    std::string_view method,
                    bool keep_open)
{
    if (!keep_open)
    {
        mg_disable_connection_keep_alive(connection);
    }
    std::string message = response_head(connection, response, keep_open);
    if (method != "HEAD" && has_body(response.status))
    {
        message += response.body;
    }
    int const written = mg_write(connection, message.data(), message.size());
    if (written != static_cast<int>(message.size()))
    {
        mg_disable_connection_keep_alive(connection);
    }
}

} // namespace turmericswitch::web
