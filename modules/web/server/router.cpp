#include "web/server/router.hpp"

#include "web/message/error_response.hpp"

#include <cassert>
#include <charconv>
#include <cstdlib>

namespace turmericswitch::web
{

namespace
{

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (true)
    {
        std::size_t const end = text.find(separator, begin);
        parts.emplace_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        begin = end + 1;
    }
}

bool is_parameter(std::string_view segment)
{
    return segment.size() > 2 && segment.front() == '{' &&
           segment.back() == '}';
}

bool match(std::vector<std::string> const& pattern,
           std::vector<std::string> const& path,
           path_parameters& parameters)
{
    if (pattern.size() != path.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i)
    {
        std::string_view const segment = pattern[i];
        if (is_parameter(segment) && !path[i].empty())
        {
            parameters.add(std::string(segment.substr(1, segment.size() - 2)),
                           percent_decoded(path[i]));
        }
        else if (segment != path[i])
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char value = 0;
        auto const* const digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2)
        {
            decoded += static_cast<char>(value);
            i += 2;
        }
        else
        {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string const& path_parameters::at(std::string_view name) const
{
    for (auto const& one : m_values)
    {
        if (one.name == name)
        {
            return one.value;
        }
    }
    assert(false && "the pattern has no such parameter");
    std::abort();
}

void path_parameters::add(std::string name, std::string value)
{
    m_values.push_back({std::move(name), std::move(value)});
}

router::router(std::vector<route> routes)
{
    for (auto& definition : routes)
    {
        auto segments = split(definition.pattern, '/');
        m_routes.push_back({std::move(definition), std::move(segments)});
    }
}

http_response router::operator()(http_request const& request) const
{
    std::string_view const target = request.target;
    auto const path = split(target.substr(0, target.find('?')), '/');
    bool path_matched = false;
    for (auto const& [definition, segments] : m_routes)
    {
        path_parameters parameters;
        if (!match(segments, path, parameters))
        {
            continue;
        }
        bool const head_served_by_get =
            request.method == "HEAD" && definition.method == "GET";
        if (definition.method == request.method || head_served_by_get)
        {
            return definition.handler(request, parameters);
        }
        path_matched = true;
    }
    http_response response =
        error_response(core::result_code::unknown_path,
                       path_matched ? "the path does not support this method"
                                    : "unknown path");
    response.status = path_matched ? 405 : 404;
    return response;
}

std::optional<std::string> query_value(http_request const& request,
                                       std::string_view name)
{
    std::size_t const query_start = request.target.find('?');
    if (query_start == std::string::npos)
    {
        return std::nullopt;
    }
    for (auto const& pair : split(request.target.substr(query_start + 1), '&'))
    {
        std::size_t const equals = pair.find('=');
        if (pair.substr(0, equals) == name)
        {
            return equals == std::string::npos
                       ? std::string()
                       : percent_decoded(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

} // namespace turmericswitch::web
