#ifndef TURMERICSWITCH_SHARED_PEERS_CONTROL_ENDPOINTS_HPP
#define TURMERICSWITCH_SHARED_PEERS_CONTROL_ENDPOINTS_HPP

#include "settings/settings.hpp"

#include <vector>

namespace turmericswitch::shared
{

/// Reads the RPC endpoints of the control instances.
///
/// They are listed as `rpc`, or follow from `seeds`, the instances' HTTP
/// addresses, and `rpc_port`, the port that all of them use for RPC.
std::vector<core::endpoint>
parse_control_endpoints(settings::settings_reader& reader);

} // namespace turmericswitch::shared

#endif
