#ifndef TURMERICSWITCH_TESTS_SUPPORT_SILENCING_RELAY_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_SILENCING_RELAY_HPP

#include "core/types/ids.hpp"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::testing
{

/// TCP relay on loopback whose open connections can fall silent: it then reads
/// and sends nothing on them and does not close them. Later connections work.
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
    static bool forward(int from, int to);

    core::endpoint m_target;
    int m_listener;
    core::endpoint m_address;
    std::mutex m_mutex;
    std::vector<connection> m_connections;
    std::atomic<std::size_t> m_accepted = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::testing

#endif
