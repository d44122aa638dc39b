#include "load/run/free_ports.hpp"

#include "core/results/last_reason.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turmericswitch::load
{

namespace
{

/// Owns a TCP socket.
class tcp_socket
{
public:
    tcp_socket() : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}

    ~tcp_socket()
    {
        if (m_socket >= 0)
        {
            ::close(m_socket);
        }
    }

    tcp_socket(tcp_socket const&) = delete;
    tcp_socket& operator=(tcp_socket const&) = delete;

    tcp_socket(tcp_socket&& other) noexcept : m_socket(other.m_socket)
    {
        other.m_socket = -1;
    }

    tcp_socket& operator=(tcp_socket&&) = delete;

    /// Binds the socket to a port on 127.0.0.1 that the kernel chooses.
    ///
    /// @return The port, or 0 on failure.
    std::uint16_t bind() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        if (m_socket < 0 || ::bind(m_socket, pointer, size) != 0 ||
            ::getsockname(m_socket, pointer, &size) != 0)
        {
            return 0;
        }
        return ntohs(address.sin_port);
    }

private:
    int m_socket;
};

} // namespace

std::optional<std::vector<std::uint16_t>> free_ports(std::size_t count)
{
    // All sockets stay open until the function returns, so that the kernel
    // gives no port twice.
    std::vector<tcp_socket> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i)
    {
        sockets.emplace_back();
        ports.push_back(sockets.back().bind());
        if (ports.back() == 0)
        {
            return core::fail(core::result_code::io_failed,
                              "no free port on 127.0.0.1");
        }
    }
    return ports;
}

} // namespace turmericswitch::load
