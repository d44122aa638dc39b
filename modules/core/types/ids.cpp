#include "core/types/ids.hpp"

namespace turmericswitch::core
{

std::string to_string(endpoint const& value)
{
    bool const is_v6 = value.address.find(':') != std::string::npos;
    std::string const host = is_v6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

} // namespace turmericswitch::core
