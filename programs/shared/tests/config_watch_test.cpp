#include "shared/control_link/config_watch.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::shared
{

/// Watches a stand-in for control that always has news.
class config_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_watch_test);
    CPPUNIT_TEST(news_that_is_not_taken_is_not_asked_for_at_once);
    CPPUNIT_TEST(taken_news_is_named_in_the_next_poll);
    CPPUNIT_TEST_SUITE_END();

    using clock = std::chrono::steady_clock;

    static constexpr std::size_t polls = 6;

    /// @return When the first polls arrived at control.
    std::vector<clock::time_point> arrivals(bool takes_news)
    {
        std::mutex mutex;
        std::vector<clock::time_point> times;
        std::atomic<std::size_t> count = 0;
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        auto const server = transport::rpc_server::listen(
            m_io,
            {"127.0.0.1", 0},
            [&](transport::rpc_request const& call,
                transport::responder const& answer)
            {
                std::lock_guard const lock(mutex);
                auto const request =
                    wire::decode<core::watch_request>(call.body);
                m_asked_with.push_back(request->in_force.value());
                times.push_back(clock::now());
                core::watch_answer news;
                news.current = core::revision(times.size());
                answer.answer(wire::encode(news));
                ++count;
            },
            connection,
            [](std::string const&) {});
        CPPUNIT_ASSERT(server);
        control_link link(m_io, {server->bound()}, 1);
        {
            config_watch watch(
                m_io,
                link,
                core::client_id("test"),
                [takes_news](core::watch_answer const& news)
                {
                    return takes_news
                               ? config_watch::known_state{news.current, {}}
                               : config_watch::known_state{};
                },
                core::backend_scope{});
            watch.start();
            while (count < polls)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        std::lock_guard const lock(mutex);
        // The server may still take polls into `times`.
        return {times.begin(), times.begin() + polls};
    }

    std::vector<std::uint64_t> m_asked_with;
    transport::io_pool m_io{2};

    // Guards against a process without rules that asks as fast as the
    // network allows. The sum of five waits drawn with the seed of this
    // process name is above this bound; a slow machine only adds to it.
    void news_that_is_not_taken_is_not_asked_for_at_once()
    {
        auto const times = arrivals(false);
        CPPUNIT_ASSERT(times.back() - times.front() >
                       std::chrono::milliseconds(200));
    }

    // Guards against a poll that asks for news which the process has.
    void taken_news_is_named_in_the_next_poll()
    {
        arrivals(true);
        for (std::size_t i = 0; i < polls; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{i}, m_asked_with[i]);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_watch_test);

} // namespace turmericswitch::shared
