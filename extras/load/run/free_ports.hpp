#ifndef TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP
#define TURMERICSWITCH_LOAD_RUN_FREE_PORTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::load
{

/// For scripts that must write ports into settings before the daemons run.
/// Another process may take a port before it is used.
///
/// @return Different TCP ports that were free on 127.0.0.1, or nothing with
/// io_failed.
std::optional<std::vector<std::uint16_t>> free_ports(std::size_t count);

} // namespace turmericswitch::load

#endif
