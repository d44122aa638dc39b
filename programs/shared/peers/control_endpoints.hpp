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
/// They are listed as `rpc`, or follow from `seeds`, the instances' HTTP
/// addresses, and `rpc_port`, the port that all of them use for RPC.
std::vector<core::endpoint>
parse_control_endpoints(settings::settings_reader& reader);

/// @return The RPC endpoints that belong to HTTP addresses of instances.
std::vector<core::endpoint> control_endpoints(std::vector<core::endpoint> seeds,
                                              std::uint16_t rpc_port);

/// Lets a link turn to the seeds of a changed settings file.
void reload_seeds_on_change(process::shutdown_signal& signal,
                            std::string const& settings_file,
                            control_link& control);

} // namespace turmericswitch::shared

#endif
