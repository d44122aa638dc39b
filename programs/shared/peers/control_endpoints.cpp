#include "shared/peers/control_endpoints.hpp"

namespace turmericswitch::shared
{

std::vector<core::endpoint>
parse_control_endpoints(settings::settings_reader& reader)
{
    if (!reader.has({"control", "seeds"}))
    {
        return reader.endpoints({"control", "rpc"});
    }
    constexpr settings::value_range<std::int64_t> ports{1, 65535};
    auto const port = static_cast<std::uint16_t>(
        reader.integer({"control", "rpc_port"}, ports, ports.lowest));
    auto endpoints = reader.endpoints({"control", "seeds"});
    for (auto& each : endpoints)
    {
        each.port = port;
    }
    return endpoints;
}

} // namespace turmericswitch::shared
