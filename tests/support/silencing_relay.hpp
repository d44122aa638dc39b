#ifndef TURMERICSWITCH_TESTS_SUPPORT_SILENCING_RELAY_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_SILENCING_RELAY_HPP

#include "core/types/ids.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::testing
{

/// TCP relay on loopback whose open connections can fall silent: it then reads
/// and sends nothing on them and does not close them. Later connections work.
/// It can also be slow, and close its connections.
class silencing_relay
{
public:
    /// Listens on a port chosen by the system.
    ///
    /// @param target Where connections are forwarded to.
    explicit silencing_relay(core::endpoint target);
    /// Closes all connections.
    ~silencing_relay();

    silencing_relay(silencing_relay const&) = delete;
    silencing_relay& operator=(silencing_relay const&) = delete;

    core::endpoint address() const;

    /// Silences the connections accepted so far. When it returns, no more of
    /// their bytes are forwarded.
    void silence();

    /// Limits the rate of all connections together, in both directions.
    /// @param bytes_per_second 0 removes the limit.
    void limit_rate(std::size_t bytes_per_second);

    /// Closes the connections accepted so far; what they held is lost.
    void close_connections();

    /// @return Connections accepted so far.
    std::size_t accepted() const;

private:
    struct connection
    {
        int from_client = -1;
        int to_target = -1;
        bool is_silent = false;
        bool is_closed = false;
    };

    void run();
    void accept_one();
    void refill_allowance();
    bool forward(int from, int to);
    static void close(connection& each);

    core::endpoint m_target;
    int m_listener;
    core::endpoint m_address;
    std::mutex m_mutex;
    std::vector<connection> m_connections;
    std::atomic<std::size_t> m_accepted = 0;
    /// Bytes per second; 0 if the rate is not limited.
    std::atomic<std::size_t> m_rate = 0;
    /// Bytes that may be forwarded now.
    double m_allowance = 0;
    std::chrono::steady_clock::time_point m_allowance_time;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::testing

#endif
