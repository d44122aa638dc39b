#include "load/run/port_reservation.hpp"

#include "core/results/last_reason.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace turmericswitch::load
{

/// Owns a TCP socket.
class port_reservation::bound_socket
{
public:
    bound_socket() : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }

    ~bound_socket()
    {
        if (m_socket >= 0)
        {
            ::close(m_socket);
        }
    }

    bound_socket(bound_socket const&) = delete;
    bound_socket& operator=(bound_socket const&) = delete;

    bound_socket(bound_socket&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    {
    }

    bound_socket& operator=(bound_socket&&) = delete;

    /// Binds the socket to a port that the kernel chooses, at all local
    /// addresses. Another socket can be bound to the same port only if both
    /// have SO_REUSEADDR.
    ///
    /// @return The port, or 0 on failure.
    std::uint16_t bind() const
    {
        int const on = 1;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_ANY);
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        if (m_socket < 0 ||
            ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) !=
                0 ||
            ::bind(m_socket, pointer, size) != 0 ||
            ::getsockname(m_socket, pointer, &size) != 0)
        {
            return 0;
        }
        return ntohs(address.sin_port);
    }

private:
    int m_socket;
};

port_reservation::port_reservation() = default;
port_reservation::~port_reservation() = default;
port_reservation::port_reservation(port_reservation&& other) noexcept = default;
port_reservation&
port_reservation::operator=(port_reservation&& other) noexcept = default;

std::optional<port_reservation> port_reservation::take(std::size_t count)
{
    port_reservation reserved;
    for (std::size_t i = 0; i < count; ++i)
    {
        reserved.m_sockets.emplace_back();
        reserved.m_ports.push_back(reserved.m_sockets.back().bind());
        if (reserved.m_ports.back() == 0)
        {
            return core::fail(core::result_code::io_failed,
                              "no free port on this host");
        }
    }
    return reserved;
}

std::vector<std::uint16_t> const& port_reservation::ports() const
{
    return m_ports;
}

} // namespace turmericswitch::load
