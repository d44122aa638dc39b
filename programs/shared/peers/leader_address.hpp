#ifndef TURMERICSWITCH_SHARED_PEERS_LEADER_ADDRESS_HPP
#define TURMERICSWITCH_SHARED_PEERS_LEADER_ADDRESS_HPP

#include "web/web.hpp"

#include <optional>

namespace turmericswitch::shared
{

/// @param response From a control instance that is not the leader (status 421).
/// @return HTTP endpoint of the leader, if the response names it.
std::optional<core::endpoint>
leader_address(web::http_response const& response);

} // namespace turmericswitch::shared

#endif
