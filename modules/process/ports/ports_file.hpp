#ifndef TURMERICSWITCH_PROCESS_PORTS_PORTS_FILE_HPP
#define TURMERICSWITCH_PROCESS_PORTS_PORTS_FILE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace turmericswitch::process
{

/// A listening port and what it serves.
struct named_port
{
    std::string name;
    std::uint16_t port = 0;
};

/// Writes `name=port` lines. The file appears whole: it is written under
/// another name and renamed.
///
/// @return False with io_failed if it can't be written.
bool write_ports_file(std::string const& path,
                      std::vector<named_port> const& ports);

} // namespace turmericswitch::process

#endif
