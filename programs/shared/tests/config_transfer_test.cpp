#include "core/config/configuration_delta.hpp"
#include "shared/control_link/config_watch.hpp"
#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::shared
{

/// Transfers from a control stand-in whose calls may be lost.
class config_transfer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_transfer_test);
    CPPUNIT_TEST(lost_chunk_does_not_begin_the_transfer_again);
    CPPUNIT_TEST(unusable_delta_is_replaced_by_the_whole);
    CPPUNIT_TEST(earlier_release_gives_whole_answers);
    CPPUNIT_TEST_SUITE_END();

    std::mutex m_mutex;
    core::configuration m_config;
    core::revision m_current{1};
    bool m_is_earlier_release = false;
    /// Replaces the base of deltas, which the process then can't use.
    bool m_has_other_base = false;
    std::vector<core::endpoint> m_instances;
    std::vector<std::uint64_t> m_offsets;
    std::vector<std::uint64_t> m_bases;
    std::vector<core::configuration> m_applied;
    transport::io_pool m_io{2};

public:
    void setUp() override
    {
        m_config.document.version = 1;
        for (int i = 0; i < 450; ++i)
        {
            core::queue_rule rule;
            rule.queue = core::queue_id("queue-" + std::to_string(i));
            rule.host = std::string(220, 'h');
            m_config.document.queues.push_back(rule);
        }
    }

private:
    /// The caller must hold `m_mutex`.
    core::config_transfer transfer_from(core::revision base) const
    {
        auto const whole = wire::encode(m_config);
        auto bytes = whole;
        if (base != core::revision())
        {
            auto previous = m_config;
            previous.document.queues[m_has_other_base ? 9 : 0].priority = 7;
            bytes = wire::encode(core::make_delta(previous, m_config));
        }
        return {{m_current, base, bytes.size(), wire::checksum_of(whole)},
                bytes};
    }

    void answer_watch(core::watch_request const& request,
                      transport::responder const& answer)
    {
        core::watch_answer update;
        update.current = m_current;
        update.control = m_instances;
        if (m_is_earlier_release && request.delta_base)
        {
            answer.refuse(core::result_code::message_malformed, "members");
            return;
        }
        if (request.in_force == m_current)
        {
            // The poll stays open.
            m_open.push_back(answer);
            return;
        }
        if (request.delta_base)
        {
            m_bases.push_back(request.delta_base->value());
            update.transfer = transfer_from(*request.delta_base);
            if (update.transfer->bytes.size() > core::config_chunk_bytes)
            {
                update.transfer->bytes.clear();
            }
        }
        else
        {
            update.config = m_config;
        }
        answer.answer(wire::encode(update));
    }

    void answer_chunk(core::chunk_request const& request,
                      transport::responder const& answer)
    {
        m_offsets.push_back(request.offset);
        if (m_offsets.size() == 2)
        {
            answer.refuse(core::result_code::overloaded, "lost");
            return;
        }
        core::chunk_answer chunk;
        chunk.retry_after = std::chrono::milliseconds(1);
        if (m_offsets.size() != 4)
        {
            chunk.bytes = transfer_from({}).bytes.substr(
                request.offset, core::config_chunk_bytes);
        }
        answer.answer(wire::encode(chunk));
    }

    void handle(transport::rpc_request const& call,
                transport::responder const& answer)
    {
        std::lock_guard const lock(m_mutex);
        if (call.path == "/watch")
        {
            answer_watch(*wire::decode<core::watch_request>(call.body), answer);
            return;
        }
        answer_chunk(*wire::decode<core::chunk_request>(call.body), answer);
    }

    /// Runs a watch; calls `change` once the first configuration is applied.
    ///
    /// @return Received totals when `count` configurations were applied.
    transfer_totals run(std::size_t count, std::function<void()> const& change)
    {
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        auto const server = transport::rpc_server::listen(
            m_io,
            {"127.0.0.1", 0},
            [this](transport::rpc_request const& call,
                   transport::responder const& answer)
            { handle(call, answer); },
            connection);
        CPPUNIT_ASSERT(server);
        m_instances = {server->bound()};
        control_link link(m_io, {server->bound()}, 1);
        config_watch watch(m_io,
                           link,
                           core::client_id("g"),
                           [this](core::watch_answer const& update)
                           { return apply(update); },
                           {{}, std::chrono::seconds(1)});
        watch.start();
        wait_for(1);
        change();
        wait_for(count);
        return watch.transfers();
    }

    config_watch::known_state apply(core::watch_answer const& update)
    {
        std::lock_guard const lock(m_mutex);
        if (update.config)
        {
            m_applied.push_back(*update.config);
        }
        return {update.current, {}};
    }

    void wait_for(std::size_t count)
    {
        auto const until =
            std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (std::chrono::steady_clock::now() < until)
        {
            {
                std::lock_guard const lock(m_mutex);
                if (m_applied.size() >= count)
                {
                    return;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_FAIL("the configuration was not applied");
    }

    void change_a_queue(bool has_other_base)
    {
        std::lock_guard const lock(m_mutex);
        m_config.document.queues[0].priority = 5;
        m_has_other_base = has_other_base;
        m_current = core::revision(2);
        core::watch_answer update;
        update.current = core::revision(1);
        for (auto const& poll : std::exchange(m_open, {}))
        {
            poll.answer(wire::encode(update));
        }
    }

    std::vector<transport::responder> m_open;

    std::string chunks_asked_for() const
    {
        std::string numbers;
        for (auto const offset : m_offsets)
        {
            numbers += std::to_string(offset / core::config_chunk_bytes) + ' ';
        }
        return numbers;
    }

    // Guards against sending the configuration again from its first byte after
    // a lost call, and against giving up when control asks to wait.
    void lost_chunk_does_not_begin_the_transfer_again()
    {
        auto const totals = run(2, [this] { change_a_queue(false); });
        std::lock_guard const lock(m_mutex);
        CPPUNIT_ASSERT(m_applied.back() == m_config);
        CPPUNIT_ASSERT_EQUAL(std::string("0 1 1 2 2 3 "), chunks_asked_for());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), totals.wholes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), totals.deltas);
        CPPUNIT_ASSERT(m_bases == std::vector<std::uint64_t>({0, 1}));
    }

    // Guards against a process that keeps asking for a delta that does not fit
    // its configuration, or acts on the wrong result.
    void unusable_delta_is_replaced_by_the_whole()
    {
        auto const totals = run(2, [this] { change_a_queue(true); });
        std::lock_guard const lock(m_mutex);
        CPPUNIT_ASSERT(m_applied.back() == m_config);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), totals.wholes);
        CPPUNIT_ASSERT(m_bases == std::vector<std::uint64_t>({0, 1, 0}));
    }

    // Guards against gateways without a configuration while control still runs
    // an earlier release, which refuses requests with unknown members.
    void earlier_release_gives_whole_answers()
    {
        m_is_earlier_release = true;
        auto const totals = run(2, [this] { change_a_queue(false); });
        std::lock_guard const lock(m_mutex);
        CPPUNIT_ASSERT(m_applied.back() == m_config);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), totals.bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_transfer_test);

} // namespace turmericswitch::shared
