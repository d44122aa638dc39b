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
    /// @param name Must be a parameter of the pattern; otherwise the process is
    /// aborted.
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

/// One entry of a router.
struct route
{
    std::string method;
    /// Path whose segments are literal or `{name}`, for example
    /// "/v1/zones/{zone}/out".
    std::string pattern;
    route_handler handler;
};

/// Dispatches requests to handlers by method and path.
///
/// Use it as the handler of an http_server. A request for an unknown path gets
/// status 404, one for a known path with another method 405, both with the code
/// unknown_path. HEAD is served by the routes for GET.
class router
{
public:
    explicit router(std::vector<route> routes);

    /// @return The response of the first matching route.
    http_response operator()(http_request const& request) const;

private:
    struct compiled_route
    {
        route definition;
        std::vector<std::string> segments;
    };

    std::vector<compiled_route> m_routes;
};

/// @return The text with every valid %XX replaced by its byte; anything else is
/// copied.
std::string percent_decoded(std::string_view text);

/// @return The percent-decoded value of `name` in the query of the target, or
/// nothing when the query has no such parameter.
std::optional<std::string> query_value(http_request const& request,
                                       std::string_view name);

} // namespace turmericswitch::web

#endif
