#include "node/peer_links.hpp"
#include "support/silencing_relay.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace turmericswitch::control::testing
{

class peer_links_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_links_test);
    CPPUNIT_TEST(silent_connection_is_replaced_within_the_contact_time);
    CPPUNIT_TEST(answer_goes_to_the_address_that_the_request_names);
    CPPUNIT_TEST_SUITE_END();

    using clock = std::chrono::steady_clock;

    /// The platform counts a machine as in touch again this long after a
    /// disturbance; by then the group must have a leader again.
    static constexpr auto contact_time = std::chrono::seconds(4);

    /// Counts the calls that arrive at an address of its own.
    std::unique_ptr<transport::rpc_server> listen()
    {
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        return transport::rpc_server::listen(
            m_io,
            {"127.0.0.1", 0},
            [this](transport::rpc_request const&,
                   transport::responder const& answer)
            {
                ++m_received;
                answer.answer({});
            },
            connection,
            [](std::string const&) {});
    }

    /// Sends heartbeats until the peer has received another one.
    void send_until_received()
    {
        auto const before = m_received.load();
        while (m_received == before)
        {
            core::consensus_message heartbeat;
            heartbeat.from = core::member_id(1);
            heartbeat.to = core::member_id(2);
            heartbeat.body = core::append_request{};
            m_links.send({heartbeat, {}});
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::atomic<std::uint64_t> m_received = 0;
    transport::io_pool m_io{2};
    peer_links m_links{m_io,
                       core::endpoint{"127.0.0.1", 1},
                       1,
                       [](consensus::delivery_id, bool) {},
                       [](core::event const&) {}};

    // Guards against a group without a leader for seconds. When the members'
    // connections fall silent without a reset, heartbeats, votes and their
    // answers are all lost until the connections are replaced.
    void silent_connection_is_replaced_within_the_contact_time()
    {
        auto const server = listen();
        CPPUNIT_ASSERT(server);
        turmericswitch::testing::silencing_relay relay(server->bound());
        core::group_membership members;
        members.members.push_back(
            {core::member_id(2), relay.address(), {}, false});
        m_links.set_members(core::member_id(1), members);
        send_until_received();
        relay.silence();
        auto const silenced = clock::now();
        send_until_received();
        auto const found_after = clock::now() - silenced;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, relay.accepted());
        CPPUNIT_ASSERT(found_after < contact_time);
        m_links.set_members(core::member_id(1), {});
    }

    // Guards against acknowledgements that are dropped or go to an earlier
    // address, because the own log does not list the sender or lists it
    // elsewhere.
    void answer_goes_to_the_address_that_the_request_names()
    {
        auto const server = listen();
        CPPUNIT_ASSERT(server);
        core::consensus_message request;
        request.from = core::member_id(2);
        request.to = core::member_id(1);
        request.body = core::append_request{};
        request.sender = server->bound();
        m_links.learn_sender(request);
        send_until_received();
        core::group_membership earlier;
        earlier.members.push_back(
            {core::member_id(2), {"127.0.0.1", 1}, {}, false});
        m_links.set_members(core::member_id(1), earlier);
        send_until_received();
        m_links.close();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_links_test);

} // namespace turmericswitch::control::testing
