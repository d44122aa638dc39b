#include "web/message/http_message.hpp"

#include <algorithm>
#include <array>

namespace turmericswitch::web
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(),
                      a.end(),
                      b.begin(),
                      b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string const* find_field(std::vector<core::http_field> const& fields,
                              std::string_view name)
{
    for (auto const& field : fields)
    {
        if (equal_ignoring_case(field.name, name))
        {
            return &field.value;
        }
    }
    return nullptr;
}

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 8> names = {"connection",
                                                       "content-length",
                                                       "transfer-encoding",
                                                       "keep-alive",
                                                       "expect",
                                                       "te",
                                                       "trailer",
                                                       "upgrade"};
    return std::any_of(names.begin(),
                       names.end(),
                       [name](std::string_view candidate)
                       { return equal_ignoring_case(candidate, name); });
}

http_response text_response(std::string body, std::string content_type)
{
    return {200, {{"Content-Type", std::move(content_type)}}, std::move(body)};
}

http_response json_response(std::string body)
{
    return text_response(std::move(body), "application/json");
}

} // namespace turmericswitch::web
