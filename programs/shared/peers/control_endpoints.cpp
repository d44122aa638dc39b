#include "shared/peers/control_endpoints.hpp"

#include "shared/daemon/daemon_main.hpp"

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
    return control_endpoints(reader.endpoints({"control", "seeds"}), port);
}

std::vector<core::endpoint> control_endpoints(std::vector<core::endpoint> seeds,
                                              std::uint16_t rpc_port)
{
    for (auto& seed : seeds)
    {
        seed.port = rpc_port;
    }
    return seeds;
}

void reload_seeds_on_change(process::shutdown_signal& signal,
                            std::string const& settings_file,
                            control_link& control)
{
    signal.on_settings_changed(
        settings_file,
        [&control, settings_file]
        {
            if (auto reader = reload_settings(settings_file))
            {
                control.set_instances(parse_control_endpoints(*reader));
            }
        });
}

} // namespace turmericswitch::shared
