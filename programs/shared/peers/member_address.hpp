#ifndef TURMERICSWITCH_SHARED_PEERS_MEMBER_ADDRESS_HPP
#define TURMERICSWITCH_SHARED_PEERS_MEMBER_ADDRESS_HPP

#include "core/types/ids.hpp"

#include <optional>
#include <string>

namespace turmericswitch::shared
{

/// Member id of an instance that is one of the first of its group: its IPv4
/// address as a number.
///
/// Only first members have such ids. An instance that joins later, also at
/// the address of a first member, draws a larger one.
///
/// @return Nothing if the text is no IPv4 address.
std::optional<core::member_id>
member_id_from_address(std::string const& address);

} // namespace turmericswitch::shared

#endif
