#include "support/silencing_relay.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace turmericswitch::testing
{

namespace
{

constexpr int poll_interval_ms = 2;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

silencing_relay::silencing_relay(core::endpoint target)
    : m_target(std::move(target)), m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in local = loopback(0);
    auto* const pointer = reinterpret_cast<sockaddr*>(&local);
    if (::bind(m_listener, pointer, sizeof local) != 0 ||
        ::listen(m_listener, 64) != 0)
    {
        throw std::runtime_error("the relay can't listen");
    }
    socklen_t size = sizeof local;
    ::getsockname(m_listener, pointer, &size);
    m_address = {"127.0.0.1", ntohs(local.sin_port)};
    m_thread = std::thread([this] { run(); });
}

silencing_relay::~silencing_relay()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
    for (auto const& each : m_connections)
    {
        ::close(each.from_client);
        ::close(each.to_target);
    }
}

core::endpoint silencing_relay::address() const
{
    return m_address;
}

void silencing_relay::silence()
{
    std::lock_guard const lock(m_mutex);
    for (auto& each : m_connections)
    {
        each.is_silent = true;
    }
}

void silencing_relay::limit_rate(std::size_t bytes_per_second)
{
    m_rate = bytes_per_second;
}

void silencing_relay::close_connections()
{
    std::lock_guard const lock(m_mutex);
    for (auto& each : m_connections)
    {
        close(each);
    }
}

std::size_t silencing_relay::accepted() const
{
    return m_accepted;
}

void silencing_relay::run()
{
    while (!m_stopping)
    {
        std::vector<pollfd> waiting{{m_listener, POLLIN, 0}};
        std::vector<std::size_t> numbers;
        for (std::size_t i = 0; i < m_connections.size(); ++i)
        {
            auto const& each = m_connections[i];
            if (!each.is_silent && !each.is_closed)
            {
                waiting.push_back({each.from_client, POLLIN, 0});
                waiting.push_back({each.to_target, POLLIN, 0});
                numbers.push_back(i);
            }
        }
        ::poll(waiting.data(), waiting.size(), poll_interval_ms);
        refill_allowance();
        std::lock_guard const lock(m_mutex);
        for (std::size_t i = 0; i < numbers.size(); ++i)
        {
            auto& each = m_connections[numbers[i]];
            bool const client_sent = waiting[2 * i + 1].revents != 0;
            bool const target_sent = waiting[2 * i + 2].revents != 0;
            bool const is_open =
                each.is_silent || each.is_closed ||
                ((!client_sent || forward(each.from_client, each.to_target)) &&
                 (!target_sent || forward(each.to_target, each.from_client)));
            if (!is_open)
            {
                close(each);
            }
        }
        if (waiting.front().revents != 0)
        {
            accept_one();
        }
    }
}

void silencing_relay::accept_one()
{
    connection added;
    added.from_client = ::accept(m_listener, nullptr, nullptr);
    added.to_target = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in const address = loopback(m_target.port);
    added.is_closed = ::connect(added.to_target,
                                reinterpret_cast<sockaddr const*>(&address),
                                sizeof address) != 0;
    if (added.is_closed)
    {
        ::shutdown(added.from_client, SHUT_RDWR);
    }
    m_connections.push_back(added);
    ++m_accepted;
}

void silencing_relay::close(connection& each)
{
    each.is_closed = true;
    ::shutdown(each.from_client, SHUT_RDWR);
    ::shutdown(each.to_target, SHUT_RDWR);
}

/// Adds what the rate allows for the time since the last call; waits a little
/// while nothing may be forwarded.
void silencing_relay::refill_allowance()
{
    auto const rate = static_cast<double>(m_rate.load());
    if (rate > 0 && m_allowance <= 0)
    {
        std::this_thread::sleep_for(
            std::chrono::milliseconds(poll_interval_ms));
    }
    auto const now = std::chrono::steady_clock::now();
    std::chrono::duration<double> const passed =
        now - std::exchange(m_allowance_time, now);
    m_allowance =
        rate > 0 ? std::min(m_allowance, 0.0) + passed.count() * rate : 0;
}

bool silencing_relay::forward(int from, int to)
{
    std::array<char, 16384> chunk{};
    if (m_rate > 0 && m_allowance <= 0)
    {
        return true;
    }
    ssize_t const size = ::recv(from, chunk.data(), chunk.size(), 0);
    m_allowance -= static_cast<double>(size);
    return size > 0 && ::send(to,
                              chunk.data(),
                              static_cast<std::size_t>(size),
                              MSG_NOSIGNAL) == size;
}

} // namespace turmericswitch::testing
