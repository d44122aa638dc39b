#include "load/run/free_ports.hpp"

#include "load/run/port_reservation.hpp"

namespace turmericswitch::load
{

std::optional<std::vector<std::uint16_t>> free_ports(std::size_t count)
{
    auto const reserved = port_reservation::take(count);
    if (!reserved)
    {
        return std::nullopt;
    }
    return reserved->ports();
}

} // namespace turmericswitch::load
