#ifndef TURMERICSWITCH_WEB_TESTS_RAW_SOCKET_HPP
#define TURMERICSWITCH_WEB_TESTS_RAW_SOCKET_HPP

#include "core/types/ids.hpp"

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace turmericswitch::web
{

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline void send_all(int socket, std::string const& bytes)
{
    ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

/// Sends bytes, shuts down the sending side and reads until the server closes
/// the connection.
///
/// @return All bytes received.
inline std::string raw_exchange(core::endpoint const& server,
                                std::string const& bytes)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in const address = loopback(server.port);
    int const connect_result = ::connect(
        socket, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    CPPUNIT_ASSERT_EQUAL(0, connect_result);
    send_all(socket, bytes);
    ::shutdown(socket, SHUT_WR);
    std::string response;
    std::array<char, 4096> chunk{};
    ssize_t size = 0;
    while ((size = ::recv(socket, chunk.data(), chunk.size(), 0)) > 0)
    {
        response.append(chunk.data(), static_cast<std::size_t>(size));
    }
    ::close(socket);
    return response;
}

/// Client connection that stays open between requests.
class keep_alive_connection
{
public:
    explicit keep_alive_connection(core::endpoint const& server)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in const address = loopback(server.port);
        CPPUNIT_ASSERT_EQUAL(
            0,
            ::connect(m_socket,
                      reinterpret_cast<sockaddr const*>(&address),
                      sizeof address));
    }

    ~keep_alive_connection()
    {
        ::close(m_socket);
    }

    keep_alive_connection(keep_alive_connection const&) = delete;
    keep_alive_connection& operator=(keep_alive_connection const&) = delete;

    /// Sends bytes and reads at least to the end of the response header.
    ///
    /// @return All bytes received.
    std::string exchange(std::string const& bytes) const
    {
        send_all(m_socket, bytes);
        std::string response;
        std::array<char, 4096> chunk{};
        while (response.find("\r\n\r\n") == std::string::npos)
        {
            ssize_t const size = ::recv(m_socket, chunk.data(), 4096, 0);
            if (size <= 0)
            {
                break;
            }
            response.append(chunk.data(), static_cast<std::size_t>(size));
        }
        return response;
    }

private:
    int m_socket;
};

/// Socket that listens on a free port of the loopback address.
class listening_socket
{
public:
    listening_socket() : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(m_socket, pointer, sizeof address));
        ::listen(m_socket, 16);
        socklen_t size = sizeof address;
        ::getsockname(m_socket, pointer, &size);
        m_port = ntohs(address.sin_port);
    }

    ~listening_socket()
    {
        ::close(m_socket);
    }

    listening_socket(listening_socket const&) = delete;
    listening_socket& operator=(listening_socket const&) = delete;

    core::endpoint address() const
    {
        return {"127.0.0.1", m_port};
    }

    /// @return The next connection, or a negative number after `shut_down`.
    int accept() const
    {
        return ::accept(m_socket, nullptr, nullptr);
    }

    void shut_down() const
    {
        ::shutdown(m_socket, SHUT_RDWR);
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

/// Reads until the end of a request header.
///
/// @return The header, or `nullopt` if the peer closed the connection first.
inline std::optional<std::string> read_request_header(int socket)
{
    std::string head;
    std::array<char, 4096> chunk{};
    while (head.find("\r\n\r\n") == std::string::npos)
    {
        ssize_t const size = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (size <= 0)
        {
            return std::nullopt;
        }
        head.append(chunk.data(), static_cast<std::size_t>(size));
    }
    return head;
}

/// Server that sends the next of some fixed texts after each request header and
/// then closes the connection.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> responses)
        : m_responses(std::move(responses)), m_thread([this] { run(); })
    {
    }

    ~scripted_server()
    {
        m_listener.shut_down();
        m_thread.join();
    }

    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    core::endpoint address() const
    {
        return m_listener.address();
    }

    /// @return Connections accepted so far.
    std::size_t connections() const
    {
        return m_connections;
    }

    /// @return Connections closed so far.
    std::size_t closed() const
    {
        return m_closed;
    }

private:
    void run()
    {
        for (auto const& response : m_responses)
        {
            int const socket = m_listener.accept();
            if (socket < 0)
            {
                return;
            }
            ++m_connections;
            read_request_header(socket);
            send_all(socket, response);
            ::close(socket);
            ++m_closed;
        }
    }

    std::vector<std::string> m_responses;
    listening_socket m_listener;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_closed = 0;
    std::thread m_thread;
};

/// Server that answers a fixed number of requests on each connection.
class closing_server
{
public:
    enum class close_mode
    {
        /// Closes the connection when it has read one more request.
        unannounced,
        /// The last response says that it closes the connection.
        announced,
    };

    explicit closing_server(std::size_t responses = 1,
                            close_mode mode = close_mode::unannounced)
        : m_responses(responses), m_mode(mode), m_thread([this] { run(); })
    {
    }

    ~closing_server()
    {
        m_listener.shut_down();
        m_thread.join();
    }

    closing_server(closing_server const&) = delete;
    closing_server& operator=(closing_server const&) = delete;

    core::endpoint address() const
    {
        return m_listener.address();
    }

    /// @return Requests read so far.
    std::size_t requests() const
    {
        return targets().size();
    }

    /// @return The target of each request.
    std::vector<std::string> targets() const
    {
        std::lock_guard const lock(m_mutex);
        return m_targets;
    }

private:
    void run()
    {
        for (;;)
        {
            int const socket = m_listener.accept();
            if (socket < 0)
            {
                return;
            }
            serve(socket);
            ::close(socket);
        }
    }

    void serve(int socket)
    {
        for (std::size_t i = 1; i <= m_responses; ++i)
        {
            if (!read_request(socket))
            {
                return;
            }
            bool const is_last =
                m_mode == close_mode::announced && i == m_responses;
            send_all(socket,
                     std::string("HTTP/1.1 200 OK\r\n") +
                         (is_last ? "Connection: close\r\n" : "") +
                         "Content-Length: 0\r\n\r\n");
        }
        if (m_mode == close_mode::unannounced)
        {
            read_request(socket);
        }
    }

    bool read_request(int socket)
    {
        auto const header = read_request_header(socket);
        if (header)
        {
            auto const begin = header->find(' ') + 1;
            auto const end = header->find(' ', begin);
            std::lock_guard const lock(m_mutex);
            m_targets.push_back(header->substr(begin, end - begin));
        }
        return header.has_value();
    }

    std::size_t m_responses;
    close_mode m_mode;
    listening_socket m_listener;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_targets;
    std::thread m_thread;
};

} // namespace turmericswitch::web

#endif
