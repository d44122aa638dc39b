#ifndef TURMERICSWITCH_TRANSPORT_TESTS_RPC_FIXTURE_HPP
#define TURMERICSWITCH_TRANSPORT_TESTS_RPC_FIXTURE_HPP

#include "transport/transport.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>

#include <arpa/inet.h>
#include <future>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace turmericswitch::transport
{

/// Timeout that no call reaches; a test that depends on it hangs.
constexpr core::duration unreached_timeout = std::chrono::hours(1);

/// A listening socket of a peer that doesn't speak HTTP/2.
class raw_peer
{
public:
    raw_peer() : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const address = reinterpret_cast<sockaddr*>(&local);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(m_listener, address, sizeof local));
        ::listen(m_listener, 16);
        socklen_t size = sizeof local;
        ::getsockname(m_listener, address, &size);
        m_port = ntohs(local.sin_port);
    }

    ~raw_peer()
    {
        ::close(m_listener);
    }

    raw_peer(raw_peer const&) = delete;
    raw_peer& operator=(raw_peer const&) = delete;

    core::endpoint endpoint() const
    {
        return {"127.0.0.1", m_port};
    }

    int accept() const
    {
        return ::accept(m_listener, nullptr, nullptr);
    }

private:
    int m_listener;
    std::uint16_t m_port = 0;
};

/// Creates servers and clients on an io_pool of two threads.
class rpc_fixture : public CppUnit::TestFixture
{
protected:
    static core::endpoint any_port()
    {
        return {"127.0.0.1", 0};
    }

    std::unique_ptr<rpc_server> serve(rpc_handler handler,
                                      connection_options options = {})
    {
        return rpc_server::listen(m_io,
                                  any_port(),
                                  std::move(handler),
                                  options,
                                  [this](std::string const& line)
                                  {
                                      std::lock_guard const lock(m_mutex);
                                      m_log.push_back(line);
                                  });
    }

    std::unique_ptr<rpc_client> client_of(core::endpoint const& peer,
                                          client_options options = {})
    {
        return std::make_unique<rpc_client>(m_io, peer, std::move(options));
    }

    static std::future<call_result>
    start(rpc_client& client,
          std::string body,
          core::duration timeout = unreached_timeout)
    {
        // set_value throws on a second callback, which ends the test program.
        auto const promise = std::make_shared<std::promise<call_result>>();
        client.call("/echo",
                    std::move(body),
                    timeout,
                    [promise](call_result result)
                    { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    static void echo(rpc_request const& request, responder const& reply)
    {
        reply.answer(request.body);
    }

    static void wait_until(std::function<bool()> const& condition)
    {
        while (!condition())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::mutex m_mutex;
    std::vector<std::string> m_log;
    io_pool m_io{2};
};

} // namespace turmericswitch::transport

#endif
