#include "process/ports/ports_file.hpp"

#include "core/results/last_reason.hpp"

#include <cstdio>
#include <fstream>

namespace turmericswitch::process
{

bool write_ports_file(std::string const& path,
                      std::vector<named_port> const& ports)
{
    std::string const unfinished = path + ".new";
    std::ofstream file(unfinished, std::ios::trunc);
    for (auto const& [name, port] : ports)
    {
        file << name << '=' << port << '\n';
    }
    file.close();
    if (!file || std::rename(unfinished.c_str(), path.c_str()) != 0)
    {
        std::remove(unfinished.c_str());
        return core::fail_bool(core::result_code::io_failed,
                               path + ": can't be written");
    }
    return true;
}

} // namespace turmericswitch::process
