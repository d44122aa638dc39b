#include "shared/control_link/control_link.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::shared
{

/// Uses instances that hold every call, as those that don't lead do.
class control_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_link_test);
    CPPUNIT_TEST(two_threads_may_replace_the_instances);
    CPPUNIT_TEST_SUITE_END();

    /// Calls that are never answered; shared with the handlers.
    struct held_calls
    {
        std::mutex mutex;
        std::vector<transport::responder> calls;
    };

    std::unique_ptr<transport::rpc_server> start_instance()
    {
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        return transport::rpc_server::listen(
            m_instances_io,
            {"127.0.0.1", 0},
            [held = m_held](transport::rpc_request const&,
                            transport::responder const& answer)
            {
                std::lock_guard const lock(held->mutex);
                held->calls.push_back(answer);
            },
            connection,
            [](std::string const&) {});
    }

    /// Waits until a call is open, so that its connection has a callback.
    void wait_for_call()
    {
        for (;;)
        {
            {
                std::lock_guard const lock(m_held->mutex);
                if (!m_held->calls.empty())
                {
                    return;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

public:
    // Guards against a sidecar that hangs when its settings file and a grant
    // name new instances at once: the thread that read the file waited for the
    // only io thread, which waited for that thread. A deadlock is ended by the
    // time limit of the test run.
    void two_threads_may_replace_the_instances()
    {
        constexpr int changes = 300;
        auto const first = start_instance();
        auto const second = start_instance();
        CPPUNIT_ASSERT(first && second);
        using endpoints = std::vector<core::endpoint>;
        endpoints const one{first->bound()};
        endpoints const other{second->bound()};
        transport::io_pool io(1);
        {
            control_link link(io, one, 1);
            link.watch_leader();
            wait_for_call();
            std::atomic<int> left = changes;
            std::function<void()> const replace = [&]
            {
                link.set_instances(left % 2 == 0 ? one : other);
                if (--left > 0)
                {
                    io.post(replace);
                }
            };
            io.post(replace);
            for (int i = 0; i < changes; ++i)
            {
                link.set_instances(i % 2 == 0 ? other : one);
            }
            while (left > 0)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
    }

private:
    std::shared_ptr<held_calls> m_held = std::make_shared<held_calls>();
    transport::io_pool m_instances_io{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_link_test);

} // namespace turmericswitch::shared
