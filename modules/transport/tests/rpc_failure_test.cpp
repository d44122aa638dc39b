#include "core/results/last_reason.hpp"
#include "transport/tests/rpc_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <stdexcept>

namespace turmericswitch::transport
{

using core::result_code;

class rpc_failure_test : public rpc_fixture
{
    CPPUNIT_TEST_SUITE(rpc_failure_test);
    CPPUNIT_TEST(refused_connect_is_not_sent);
    CPPUNIT_TEST(peer_killed_in_a_call_is_lost);
    CPPUNIT_TEST(dropped_responder_is_lost);
    CPPUNIT_TEST(exception_in_the_handler_loses_only_its_call);
    CPPUNIT_TEST(refusal_by_the_handler_is_not_sent);
    CPPUNIT_TEST(timeout_of_a_written_call_is_lost);
    CPPUNIT_TEST(timeout_of_a_waiting_call_is_not_sent);
    CPPUNIT_TEST(silent_peer_is_detected);
    CPPUNIT_TEST(client_can_ask_for_fewer_keepalives);
    CPPUNIT_TEST(garbage_affects_no_other_connection);
    CPPUNIT_TEST(too_large_body_affects_no_other_stream);
    CPPUNIT_TEST(too_large_answer_is_lost);
    CPPUNIT_TEST(other_version_is_refused_and_logged);
    CPPUNIT_TEST(taken_port_is_reported);
    CPPUNIT_TEST(destroyed_client_ends_its_calls);
    CPPUNIT_TEST_SUITE_END();

    static void
    expect(call_result const& result, call_outcome outcome, result_code code)
    {
        CPPUNIT_ASSERT(result.outcome == outcome);
        CPPUNIT_ASSERT_EQUAL(std::string(core::to_string(code)),
                             std::string(core::to_string(result.code)));
    }

    // Handler that keeps the responders and doesn't answer.
    rpc_handler hold()
    {
        return [this](rpc_request const&, responder reply)
        {
            std::lock_guard const lock(m_mutex);
            m_held.push_back(std::move(reply));
        };
    }

    std::size_t held()
    {
        std::lock_guard const lock(m_mutex);
        return m_held.size();
    }

    std::vector<responder> m_held;

    // Guards against reporting a call as lost when nothing listens, so that it
    // certainly was not processed.
    void refused_connect_is_not_sent()
    {
        auto server = serve(echo);
        auto const client = client_of(server->bound());
        server.reset();
        for (int i = 0; i < 3; ++i)
        {
            expect(start(*client, "a").get(),
                   call_outcome::not_sent,
                   result_code::peer_unreachable);
        }
    }

    // Guards against running a call twice: a call that may have been processed
    // must not end as not_sent.
    void peer_killed_in_a_call_is_lost()
    {
        auto server = serve(hold());
        auto const client = client_of(server->bound());
        auto result = start(*client, "a");
        wait_until([&] { return held() == 1; });
        server.reset();
        expect(result.get(), call_outcome::lost, result_code::peer_unreachable);
        m_held.clear();
    }

    // Guards against a call that never ends when the handler drops its
    // responder.
    void dropped_responder_is_lost()
    {
        auto const server = serve([](rpc_request const&, responder const&) {});
        auto const client = client_of(server->bound());
        expect(start(*client, "a").get(),
               call_outcome::lost,
               result_code::outcome_unknown);
    }

    // Guards against one call that ends the whole process, or the other calls
    // of its connection.
    void exception_in_the_handler_loses_only_its_call()
    {
        auto const server = serve(
            [](rpc_request const& request, responder const& reply)
            {
                if (request.body == "bad")
                {
                    throw std::runtime_error("unexpected");
                }
                reply.answer(request.body);
            });
        auto const client = client_of(server->bound());
        expect(start(*client, "bad").get(),
               call_outcome::lost,
               result_code::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("good"),
                             start(*client, "good").get().body);
        std::lock_guard const lock(m_mutex);
        CPPUNIT_ASSERT_EQUAL(std::string("handler of /echo failed: unexpected"),
                             m_log.at(0));
    }

    // Guards against losing the code or text of a refusal.
    void refusal_by_the_handler_is_not_sent()
    {
        auto const server =
            serve([](rpc_request const&, responder const& reply)
                  { reply.refuse(result_code::unknown_path, "no such path"); });
        auto const client = client_of(server->bound());
        auto const result = start(*client, "a").get();
        expect(result, call_outcome::not_sent, result_code::unknown_path);
        CPPUNIT_ASSERT_EQUAL(std::string("no such path"), result.body);
    }

    // Guards against a call that hangs, and against ending it as not_sent after
    // bytes were written.
    void timeout_of_a_written_call_is_lost()
    {
        auto const server = serve(hold());
        auto const client = client_of(server->bound());
        auto first = start(*client, "a");
        wait_until([&] { return held() == 1; });
        expect(start(*client, "b", std::chrono::milliseconds(50)).get(),
               call_outcome::lost,
               result_code::timed_out);
        m_held.front().answer("whole");
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), first.get().body);
    }

    // Guards against ending a call as lost that waits for a free stream and has
    // written nothing.
    void timeout_of_a_waiting_call_is_not_sent()
    {
        auto const server = serve(hold(), {.stream_limit = 1});
        auto const client = client_of(server->bound());
        auto first = start(*client, "a");
        wait_until([&] { return held() == 1; });
        expect(start(*client, "b", std::chrono::milliseconds(20)).get(),
               call_outcome::not_sent,
               result_code::timed_out);
        m_held.front().answer("whole");
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), first.get().body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held());
    }

    // Guards against waiting for a peer that accepts the connection but sends
    // nothing. Without the keepalive the call would wait for its timeout
    // of an hour.
    void silent_peer_is_detected()
    {
        raw_peer const peer;
        client_options options;
        options.connection.keepalive_interval = std::chrono::milliseconds(10);
        auto const client = client_of(peer.endpoint(), options);
        expect(start(*client, "a").get(),
               call_outcome::lost,
               result_code::peer_unreachable);
    }

    /// @return Bytes that a client gets in 200 ms without any answer.
    std::uint64_t bytes_at_rest(core::duration client_interval)
    {
        connection_options eager;
        eager.keepalive_interval = std::chrono::milliseconds(10);
        auto const server = serve(echo, eager);
        client_options options;
        options.connection.keepalive_interval = client_interval;
        auto const client = client_of(server->bound(), options);
        start(*client, "a").get();
        auto const before = client->transferred().received;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return client->transferred().received - before;
    }

    // Guards against keepalives of the server that wake a process on
    // connections on which it expects answers only rarely.
    void client_can_ask_for_fewer_keepalives()
    {
        constexpr std::uint64_t ping_bytes = 17;
        CPPUNIT_ASSERT(bytes_at_rest(std::chrono::seconds(2)) > ping_bytes);
        CPPUNIT_ASSERT(bytes_at_rest(std::chrono::seconds(15)) <= ping_bytes);
    }

    // Guards against a server that fails on input that isn't HTTP/2.
    void garbage_affects_no_other_connection()
    {
        auto const server = serve(echo);
        auto const client = client_of(server->bound());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), start(*client, "a").get().body);
        int const raw_client = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(server->bound().port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(
            0,
            ::connect(raw_client, reinterpret_cast<sockaddr*>(&to), sizeof to));
        std::string const garbage(100000, '\xfe');
        ::send(raw_client, garbage.data(), garbage.size(), MSG_NOSIGNAL);
        std::array<char, 4096> bytes{};
        while (::recv(raw_client, bytes.data(), bytes.size(), 0) > 0)
        {
        }
        ::close(raw_client);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), start(*client, "b").get().body);
    }

    // Guards against unbounded memory use in the server, and against failing
    // the other calls of the connection.
    void too_large_body_affects_no_other_stream()
    {
        auto const server = serve(hold(), {.body_limit = 1000});
        auto const client = client_of(server->bound());
        auto other = start(*client, "other");
        wait_until([&] { return held() == 1; });
        expect(start(*client, std::string(std::size_t{8} << 20, 'x')).get(),
               call_outcome::not_sent,
               result_code::message_too_large);
        m_held.front().answer("whole");
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), other.get().body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held());
    }

    // Guards against reporting a too large answer as a refusal although the
    // call was processed.
    void too_large_answer_is_lost()
    {
        auto const server = serve([](rpc_request const&, responder const& reply)
                                  { reply.answer(std::string(2000, 'x')); });
        client_options options;
        options.connection.body_limit = 1000;
        auto const client = client_of(server->bound(), options);
        expect(start(*client, "a").get(),
               call_outcome::lost,
               result_code::message_too_large);
    }

    // Guards against misreading the messages of another protocol version.
    void other_version_is_refused_and_logged()
    {
        auto const server = serve(hold());
        client_options options;
        options.connection.protocol_version = 2;
        auto const client = client_of(server->bound(), options);
        expect(start(*client, "a").get(),
               call_outcome::not_sent,
               result_code::version_unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held());
        CPPUNIT_ASSERT_EQUAL(
            std::string("refused call: protocol version 2, expected 1"),
            m_log.at(0));
    }

    // Guards against a program that starts although its port is in use.
    void taken_port_is_reported()
    {
        auto const server = serve(echo);
        CPPUNIT_ASSERT(!rpc_server::listen(m_io, server->bound(), echo));
        CPPUNIT_ASSERT(core::last_reason().code == result_code::address_in_use);
    }

    // Guards against a callback that never runs, or that runs after the client
    // was destroyed.
    void destroyed_client_ends_its_calls()
    {
        auto const server = serve(hold());
        auto client = client_of(server->bound());
        auto result = start(*client, "a");
        wait_until([&] { return held() == 1; });
        client.reset();
        CPPUNIT_ASSERT(result.wait_for(std::chrono::seconds(0)) ==
                       std::future_status::ready);
        CPPUNIT_ASSERT(result.get().outcome == call_outcome::lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_failure_test);

} // namespace turmericswitch::transport
