#ifndef TURMERICSWITCH_LOAD_RUN_PORT_RESERVATION_HPP
#define TURMERICSWITCH_LOAD_RUN_PORT_RESERVATION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::load
{

/// Holds TCP ports, so that the kernel gives them to no other socket: neither
/// to a server that asks for any free port nor to an outgoing connection.
/// Servers that set SO_REUSEADDR, as those of the daemons do, can listen on
/// them at any local address, and again after a restart.
class port_reservation
{
public:
    /// @return Reserved ports that no socket used at any local address, or
    /// nothing with io_failed.
    static std::optional<port_reservation> take(std::size_t count);

    ~port_reservation();
    port_reservation(port_reservation&& other) noexcept;
    port_reservation& operator=(port_reservation&& other) noexcept;
    port_reservation(port_reservation const&) = delete;
    port_reservation& operator=(port_reservation const&) = delete;

    /// @return Distinct ports, reserved until this object is destroyed.
    std::vector<std::uint16_t> const& ports() const;

private:
    class bound_socket;

    port_reservation();

    /// These never listen, so a connection to a port that no daemon serves is
    /// refused.
    std::vector<bound_socket> m_sockets;
    std::vector<std::uint16_t> m_ports;
};

} // namespace turmericswitch::load

#endif
