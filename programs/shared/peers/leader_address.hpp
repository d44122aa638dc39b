#ifndef TURMERICSWITCH_SHARED_PEERS_LEADER_ADDRESS_HPP
#define TURMERICSWITCH_SHARED_PEERS_LEADER_ADDRESS_HPP

#include "web/web.hpp"

#include <optional>

namespace turmericswitch::shared
{

/// @param response Of a control instance that does not lead (status 421).
/// @return Where the leader serves HTTP, if the response names it.
std::optional<core::endpoint>
leader_address(web::http_response const& response);

} // namespace turmericswitch::shared

#endif
