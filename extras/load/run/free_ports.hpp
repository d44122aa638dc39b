#ifndef TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP
#define TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::load
{

/// Finds ports for scripts that write them into settings before they start the
/// daemons. Another process may take a port before the daemon binds it.
///
/// @return Distinct TCP ports that were free on 127.0.0.1, or nothing with
/// io_failed.
std::optional<std::vector<std::uint16_t>> free_ports(std::size_t count);

} // namespace turmericswitch::load

#endif
