#include "process/clock/boot_clock.hpp"
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

/// Uses a control stand-in that answers every poll with a new revision.
class config_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_watch_test);
    CPPUNIT_TEST(backs_off_if_update_is_not_applied);
    CPPUNIT_TEST(next_poll_names_applied_revision);
    CPPUNIT_TEST(only_an_applied_answer_confirms_the_configuration);
    CPPUNIT_TEST_SUITE_END();

    using clock = std::chrono::steady_clock;

    static constexpr std::size_t poll_count = 6;

    /// Shared with the handler, which may still run after `poll_times`.
    struct poll_log
    {
        std::mutex mutex;
        std::vector<clock::time_point> times;
        std::atomic<std::size_t> count = 0;
    };

    /// @return Arrival times of the first `poll_count` polls.
    std::vector<clock::time_point> poll_times(bool applies_updates)
    {
        auto const polls = std::make_shared<poll_log>();
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        auto const server = transport::rpc_server::listen(
            m_io,
            {"127.0.0.1", 0},
            [this, polls](transport::rpc_request const& call,
                          transport::responder const& answer)
            {
                std::lock_guard const lock(polls->mutex);
                auto const request =
                    wire::decode<core::watch_request>(call.body);
                m_polled_revisions.push_back(request->in_force.value());
                polls->times.push_back(clock::now());
                core::watch_answer update;
                update.current = core::revision(polls->times.size());
                answer.answer(wire::encode(update));
                ++polls->count;
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
                [applies_updates](core::watch_answer const& update)
                {
                    return applies_updates
                               ? config_watch::known_state{update.current, {}}
                               : config_watch::known_state{};
                },
                {core::backend_scope{},
                 std::chrono::seconds(1),
                 [this](core::time_point asked_at)
                 {
                     std::lock_guard const confirmed_lock(m_mutex);
                     m_confirmed.push_back(asked_at);
                 }});
            watch.start();
            while (polls->count < poll_count)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
        std::lock_guard const lock(polls->mutex);
        // The server may still append to the times.
        return {polls->times.begin(), polls->times.begin() + poll_count};
    }

    std::mutex m_mutex;
    std::vector<core::time_point> m_confirmed;
    std::vector<std::uint64_t> m_polled_revisions;
    transport::io_pool m_io{2};

    // Guards against polling as fast as the network allows while the process
    // cannot apply an update. The process name seeds the random delays; with
    // this name, the five delays add up to more than the bound. A slow machine
    // only lengthens them.
    void backs_off_if_update_is_not_applied()
    {
        auto const times = poll_times(false);
        CPPUNIT_ASSERT(times.back() - times.front() >
                       std::chrono::milliseconds(200));
    }

    // Guards against polls for a revision that the process already has.
    void next_poll_names_applied_revision()
    {
        poll_times(true);
        for (std::size_t i = 0; i < poll_count; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{i}, m_polled_revisions[i]);
        }
    }

    // Guards against a process that takes its configuration for current because
    // polls are answered, although it could not apply the answers. The time
    // must be that of the question: the answer may have been delayed.
    void only_an_applied_answer_confirms_the_configuration()
    {
        auto const begun = process::boot_time();
        poll_times(false);
        CPPUNIT_ASSERT(m_confirmed.empty());
        poll_times(true);
        CPPUNIT_ASSERT(m_confirmed.size() >= poll_count - 1);
        CPPUNIT_ASSERT(m_confirmed.front() >= begun);
        CPPUNIT_ASSERT(m_confirmed.back() <= process::boot_time());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_watch_test);

} // namespace turmericswitch::shared
