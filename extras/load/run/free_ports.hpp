#ifndef TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP
#define TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::load
{

/// Finds ports for scripts that write them into settings before they start the
/// daemons. Another process may take a port before the daemon binds it; a
/// program that starts daemons itself holds a port_reservation instead.
///
/// @return Distinct TCP ports that were free at all local addresses, or nothing
/// with io_failed.
std::optional<std::vector<std::uint16_t>> free_ports(std::size_t count);

} // namespace turmericswitch::load

#endif
