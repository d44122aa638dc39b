#include "shared/peers/leader_address.hpp"

#include "settings/values/parse_value.hpp"

#include <string_view>

namespace turmericswitch::shared
{

std::optional<core::endpoint> leader_address(web::http_response const& response)
{
    constexpr std::string_view scheme = "http://";
    auto const* const location = web::find_field(response.fields, "Location");
    if (location == nullptr || !location->starts_with(scheme))
    {
        return std::nullopt;
    }
    auto const host = location->substr(scheme.size());
    return settings::parse_endpoint(host.substr(0, host.find('/')));
}

} // namespace turmericswitch::shared
