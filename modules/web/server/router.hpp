#ifndef TURMERICSWITCH_WEB_SERVER_ROUTER_HPP
#define TURMERICSWITCH_WEB_SERVER_ROUTER_HPP

#include "web/message/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::web
{

/// Values of the `{name}` segments of a matched path, percent-decoded.
class path_parameters
{
public:
    /// @param name Must be a parameter of the pattern.
    std::string const& at(std::string_view name) const;

    void add(std::string name, std::string value);

private:
    struct parameter
    {
        std::string name;
        std::string value;
    };

    std::vector<parameter> m_values;
};

using route_handler =
    std::function<http_response(http_request const&, path_parameters const&)>;

/// One row of a table of routes.
struct route
{
    std::string method;
    /// Segments are literal or `{name}`, for example "/v1/zones/{zone}/out".
    std::string pattern;
    route_handler handler;
};

/// Chooses the handler of a request by method and path.
///
/// Use it as the handler of an http_server when one port serves several
/// paths. An unknown path gets 404, a known path with another method 405,
/// both with the code unknown_path.
class router
{
public:
    explicit router(std::vector<route> routes);

    /// Serves the request with the first row that matches.
    http_response operator()(http_request const& request) const;

private:
    struct compiled_route
    {
        route definition;
        std::vector<std::string> segments;
    };

    std::vector<compiled_route> m_routes;
};

/// @return The text with every valid %XX replaced by its byte.
std::string percent_decoded(std::string_view text);

/// @return The value of `name` in the query of the target, percent-decoded,
/// or nothing.
std::optional<std::string> query_value(http_request const& request,
                                       std::string_view name);

} // namespace turmericswitch::web

#endif
