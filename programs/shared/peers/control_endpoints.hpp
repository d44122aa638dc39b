#ifndef TURMERICSWITCH_SHARED_PEERS_CONTROL_ENDPOINTS_HPP
#define TURMERICSWITCH_SHARED_PEERS_CONTROL_ENDPOINTS_HPP

#include "process/process.hpp"
#include "settings/settings.hpp"
#include "shared/control_link/control_link.hpp"

#include <vector>

namespace turmericswitch::shared
{

/// Reads the RPC endpoints of the control instances.
///
/// They are listed as `rpc`, or derived from `seeds`, the HTTP endpoints of the
/// instances, and `rpc_port`, the RPC port of all instances.
std::vector<core::endpoint>
parse_control_endpoints(settings::settings_reader& reader);

/// @return RPC endpoints of the instances with these HTTP endpoints.
std::vector<core::endpoint> control_endpoints(std::vector<core::endpoint> seeds,
                                              std::uint16_t rpc_port);

/// Passes the control endpoints to `control` whenever the settings file
/// changes.
void reload_seeds_on_change(process::shutdown_signal& signal,
                            std::string const& settings_file,
                            control_link& control);

} // namespace turmericswitch::shared

#endif
