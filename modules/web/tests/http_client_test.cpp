#include "web/tests/raw_socket.hpp"
#include "web/web.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::web
{

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(bodies_arrive_complete_in_both_directions);
    CPPUNIT_TEST(incomplete_responses_are_lost);
    CPPUNIT_TEST(chunked_response_arrives_complete);
    CPPUNIT_TEST(refused_connection_is_not_sent);
    CPPUNIT_TEST(silent_peer_is_lost);
    CPPUNIT_TEST(closed_idle_connection_is_lost_unless_retry_allowed);
    CPPUNIT_TEST(retry_that_is_refused_does_not_speak_for_the_first_try);
    CPPUNIT_TEST_SUITE_END();

    static constexpr core::duration long_timeout = std::chrono::seconds(60);

    static http_client_options options_with_long_idle_timeout()
    {
        http_client_options options;
        options.idle_timeout = std::chrono::hours(1);
        return options;
    }

    static http_result
    get(http_client& client, core::endpoint const& from, bool may_retry = false)
    {
        return client.request(
            from, {"GET", "/", {}, ""}, long_timeout, may_retry);
    }

    // Guards against truncated bodies and against reusing a connection whose
    // response was not read completely.
    void bodies_arrive_complete_in_both_directions()
    {
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        options.worker_threads = 4;
        auto const server = http_server::start(
            options,
            [](http_request const& request)
            { return text_response(request.target + request.body); });
        http_client client;
        for (std::size_t const size : {0U, 1U, 100000U, 8U << 20U})
        {
            std::string const body(size, 'b');
            auto const result = client.request(
                server->bound(), {"POST", "/p?q", {}, body}, long_timeout);
            CPPUNIT_ASSERT_EQUAL(std::string(), result.text);
            CPPUNIT_ASSERT(result.outcome == http_outcome::answered);
            CPPUNIT_ASSERT(result.response.body == "/p?q" + body);
        }
    }

    // Guards against returning part of a response as if it were complete.
    void incomplete_responses_are_lost()
    {
        std::string const ok = "HTTP/1.1 200 OK\r\n";
        std::vector<std::string> const bad = {
            ok + "Content-Length: 10\r\n\r\nabc",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            ok + "\r\nabc",
            ok + "Content-Le",
            "nonsense\r\n\r\n",
            "",
        };
        scripted_server const server(bad);
        http_client client;
        for (auto const& text : bad)
        {
            CPPUNIT_ASSERT_MESSAGE(text,
                                   get(client, server.address()).outcome ==
                                       http_outcome::lost);
        }
    }

    // Guards against chunk headers that are read as part of the body.
    void chunked_response_arrives_complete()
    {
        scripted_server const server({"HTTP/1.1 200 OK\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"});
        http_client client;
        auto const result = get(client, server.address());
        CPPUNIT_ASSERT(result.outcome == http_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), result.response.body);
    }

    // Guards against reporting that a request may have run although the
    // connection was refused.
    void refused_connection_is_not_sent()
    {
        core::endpoint where;
        {
            where = scripted_server({}).address();
        }
        http_client client;
        auto const result = get(client, where);
        CPPUNIT_ASSERT(result.outcome == http_outcome::not_sent);
        CPPUNIT_ASSERT(result.code == core::result_code::peer_unreachable);
    }

    // Guards against waiting without a timeout for a peer that never accepts;
    // the kernel still completes the connection.
    void silent_peer_is_lost()
    {
        int const listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(0);
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(listener, pointer, sizeof address));
        ::listen(listener, 4);
        socklen_t size = sizeof address;
        ::getsockname(listener, pointer, &size);
        http_client client;
        auto const result =
            client.request({"127.0.0.1", ntohs(address.sin_port)},
                           {"GET", "/", {}, ""},
                           std::chrono::milliseconds(50));
        ::close(listener);
        CPPUNIT_ASSERT(result.outcome == http_outcome::lost);
    }

    // The peer closes each connection after one response without a
    // "Connection: close". Guards against retrying a request that must not run
    // twice, and against the failure of one that may be retried.
    void closed_idle_connection_is_lost_unless_retry_allowed()
    {
        std::string const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        scripted_server const server({ok, ok, ok});
        http_client client(options_with_long_idle_timeout());
        CPPUNIT_ASSERT(get(client, server.address()).outcome ==
                       http_outcome::answered);
        CPPUNIT_ASSERT(get(client, server.address()).outcome ==
                       http_outcome::lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections());
        CPPUNIT_ASSERT(get(client, server.address()).outcome ==
                       http_outcome::answered);
        CPPUNIT_ASSERT(get(client, server.address(), true).outcome ==
                       http_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server.connections());
    }

    // The peer closes the connection and its port. Guards against reporting
    // that a request was not sent because its retry found no connection.
    void retry_that_is_refused_does_not_speak_for_the_first_try()
    {
        http_client client(options_with_long_idle_timeout());
        core::endpoint where;
        {
            scripted_server const server(
                {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
            where = server.address();
            CPPUNIT_ASSERT(get(client, where).outcome ==
                           http_outcome::answered);
        }
        CPPUNIT_ASSERT(get(client, where, true).outcome == http_outcome::lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace turmericswitch::web
