#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int accept_poll_ms = 50;
constexpr int backlog = 128;

sockaddr_in to_sockaddr(endpoint const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(),
                   text.end(),
                   text.begin(),
                   [](unsigned char each)
                   { return static_cast<char>(std::tolower(each)); });
    return text;
}

std::string trimmed(std::string const& text)
{
    auto const first = text.find_first_not_of(" \t");
    auto const last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
}

int left_ms(clock::time_point until)
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool wait_for(int socket, short events, clock::time_point until)
{
    pollfd waiting{socket, events, 0};
    return ::poll(&waiting, 1, left_ms(until)) > 0;
}

bool send_all(int socket, std::string const& text, clock::time_point until)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        if (!wait_for(socket, POLLOUT, until))
        {
            return false;
        }
        auto const count = ::send(socket,
                                  text.data() + sent,
                                  text.size() - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads one message with a Content-Length; what follows it stays in `rest`.
///
/// @return The start line, or nothing if the connection ended first.
std::optional<std::string>
read_message(int socket,
             std::string& rest,
             clock::time_point until,
             std::map<std::string, std::string>& head,
             std::string& body)
{
    std::array<char, 65536> part{};
    auto const receive = [&]
    {
        if (!wait_for(socket, POLLIN, until))
        {
            return false;
        }
        auto const count = ::recv(socket, part.data(), part.size(), 0);
        if (count <= 0)
        {
            return false;
        }
        rest.append(part.data(), static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive())
        {
            return std::nullopt;
        }
    }
    std::string const text = rest.substr(0, end);
    auto line_end = text.find("\r\n");
    std::string const start = text.substr(0, line_end);
    head.clear();
    while (line_end != std::string::npos)
    {
        auto const begin = line_end + 2;
        line_end = text.find("\r\n", begin);
        auto const line = text.substr(begin, line_end - begin);
        auto const colon = line.find(':');
        if (colon != std::string::npos)
        {
            head[lower(line.substr(0, colon))] =
                trimmed(line.substr(colon + 1));
        }
    }
    std::size_t length = 0;
    if (auto const found = head.find("content-length"); found != head.end())
    {
        length = std::strtoul(found->second.c_str(), nullptr, 10);
    }
    rest.erase(0, end + 4);
    while (rest.size() < length)
    {
        if (!receive())
        {
            return std::nullopt;
        }
    }
    body = rest.substr(0, length);
    rest.erase(0, length);
    return start;
}

std::string head_of(std::map<std::string, std::string> const& fields,
                    std::size_t length)
{
    std::string text;
    for (auto const& [name, value] : fields)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

} // namespace

std::string to_string(endpoint const& where)
{
    return where.address + ":" + std::to_string(where.port);
}

kept_connection::kept_connection(endpoint to) : m_to(std::move(to)) {}

kept_connection::~kept_connection()
{
    if (m_socket >= 0)
    {
        ::close(m_socket);
    }
}

response kept_connection::call(request const& what, int timeout_ms)
{
    auto const until = clock::now() + std::chrono::milliseconds(timeout_ms);
    if (m_socket < 0)
    {
        m_rest.clear();
        m_socket =
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto const address = to_sockaddr(m_to);
        // The result is known when the socket can be written to.
        static_cast<void>(::connect(m_socket,
                                    reinterpret_cast<sockaddr const*>(&address),
                                    sizeof address));
    }
    response answer;
    auto fields = what.fields;
    fields.emplace("host", to_string(m_to));
    std::string const text = what.method + " " + what.target + " HTTP/1.1\r\n" +
                             head_of(fields, what.body.size()) + what.body;
    int failure = 0;
    socklen_t size = sizeof failure;
    if (wait_for(m_socket, POLLOUT, until) &&
        ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 &&
        failure == 0 && send_all(m_socket, text, until))
    {
        if (auto const start = read_message(
                m_socket, m_rest, until, answer.fields, answer.body))
        {
            answer.status = std::atoi(start->substr(start->find(' ')).c_str());
        }
    }
    auto const connection = answer.fields.find("connection");
    bool const is_closing =
        connection != answer.fields.end() && connection->second == "close";
    if (answer.status == 0 || is_closing)
    {
        ::close(m_socket);
        m_socket = -1;
    }
    return answer;
}

response call(endpoint const& to, request const& what, int timeout_ms)
{
    kept_connection connection(to);
    return connection.call(what, timeout_ms);
}

server::server(endpoint const& where, handler serve) : m_serve(std::move(serve))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const address = to_sockaddr(where);
    if (::bind(m_listener,
               reinterpret_cast<sockaddr const*>(&address),
               sizeof address) != 0 ||
        ::listen(m_listener, backlog) != 0)
    {
        ::close(m_listener);
        throw std::runtime_error(to_string(where) + " is in use");
    }
    m_thread = std::thread([this] { accept_connections(); });
}

server::~server()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
    {
        std::lock_guard const lock(m_mutex);
        for (int const each : m_open)
        {
            ::shutdown(each, SHUT_RDWR);
        }
    }
    while (m_threads > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(accept_poll_ms));
    }
}

void server::accept_connections()
{
    while (!m_stopping)
    {
        pollfd waiting{m_listener, POLLIN, 0};
        if (::poll(&waiting, 1, accept_poll_ms) <= 0)
        {
            continue;
        }
        int const socket =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        int const on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            std::lock_guard const lock(m_mutex);
            m_open.insert(socket);
        }
        ++m_threads;
        std::thread([this, socket] { serve_connection(socket); }).detach();
    }
}

void server::serve_connection(int socket)
{
    constexpr auto idle = std::chrono::seconds(30);
    std::string rest;
    for (;;)
    {
        request asked;
        auto const start = read_message(
            socket, rest, clock::now() + idle, asked.fields, asked.body);
        if (!start || m_stopping)
        {
            break;
        }
        auto const first = start->find(' ');
        auto const second = start->find(' ', first + 1);
        asked.method = start->substr(0, first);
        asked.target = start->substr(first + 1, second - first - 1);
        auto const answer = m_serve(asked);
        if (!answer)
        {
            continue;
        }
        std::string const text =
            "HTTP/1.1 " + std::to_string(answer->status) + " X\r\n" +
            head_of(answer->fields, answer->body.size()) + answer->body;
        if (!send_all(socket, text, clock::now() + idle))
        {
            break;
        }
    }
    {
        std::lock_guard const lock(m_mutex);
        m_open.erase(socket);
    }
    ::close(socket);
    --m_threads;
}

} // namespace review
