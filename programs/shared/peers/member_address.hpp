#ifndef TURMERICSWITCH_SHARED_PEERS_MEMBER_ADDRESS_HPP
#define TURMERICSWITCH_SHARED_PEERS_MEMBER_ADDRESS_HPP

#include "core/types/ids.hpp"

#include <optional>
#include <string>

namespace turmericswitch::shared
{

/// Member id of a first member of a control group: its IPv4 address as a
/// number.
///
/// Only first members have such ids. An instance that joins later draws a
/// larger one, even at the address of a first member.
///
/// @return Nothing if the text is not an IPv4 address.
std::optional<core::member_id>
member_id_from_address(std::string const& address);

} // namespace turmericswitch::shared

#endif
