#include "core/results/last_reason.hpp"
#include "web/tests/raw_socket.hpp"
#include "web/web.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <stdexcept>

namespace turmericswitch::web
{

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(target_and_fields_arrive_unchanged);
    CPPUNIT_TEST(malformed_requests_get_an_error_and_never_reach_the_handler);
    CPPUNIT_TEST(chunked_body_arrives_complete);
    CPPUNIT_TEST(expect_100_continue_gets_an_interim_response);
    CPPUNIT_TEST(head_response_has_length_but_no_body);
    CPPUNIT_TEST(one_connection_serves_many_requests);
    CPPUNIT_TEST(connections_above_the_limit_are_closed);
    CPPUNIT_TEST(field_with_line_break_is_not_sent);
    CPPUNIT_TEST(handler_exception_is_outcome_unknown);
    CPPUNIT_TEST(stop_finishes_requests_in_progress);
    CPPUNIT_TEST(port_in_use_is_reported);
    CPPUNIT_TEST_SUITE_END();

    static std::unique_ptr<http_server> start_server(http_handler handler)
    {
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        options.worker_threads = 4;
        options.body_limit = 100;
        return http_server::start(options, std::move(handler));
    }

    static void assert_contains(std::string const& text,
                                std::string const& part)
    {
        CPPUNIT_ASSERT_MESSAGE(part + " not in: " + text,
                               text.find(part) != std::string::npos);
    }

    static http_response echo(http_request const& request)
    {
        return text_response(request.method + " " + request.target + " " +
                             request.body);
    }

    // Guards against decoding or normalising the target, which would change
    // the request that the backend server receives.
    void target_and_fields_arrive_unchanged()
    {
        auto const server = start_server(
            [](http_request const& request)
            {
                return text_response(request.target + " " +
                                     *find_field(request.fields, "x-KEY"));
            });
        auto const response =
            raw_exchange(server->bound(),
                         "GET /a%2Fb/../c?q=%20x&y HTTP/1.1\r\nHost: h\r\n"
                         "X-Key: 7 8\r\n\r\n");
        assert_contains(response, "/a%2Fb/../c?q=%20x&y 7 8");
    }

    // Guards against running an incomplete request, and against request
    // smuggling with an ambiguous body length.
    void malformed_requests_get_an_error_and_never_reach_the_handler()
    {
        std::atomic<int> runs = 0;
        auto const server = start_server(
            [&](http_request const& request)
            {
                ++runs;
                return echo(request);
            });
        std::string const post = "POST / HTTP/1.1\r\nHost: h\r\n";
        struct malformed_request
        {
            std::string bytes;
            std::string status;
            std::string code;
        };
        std::vector<malformed_request> const malformed = {
            {post + "\r\n", " 400 ", "310"},
            {post + "Content-Length: x\r\n\r\n", " 4", "310"},
            {post + "Content-Length: -1\r\n\r\n", " 4", "310"},
            {post + "Content-Length: 3x\r\n\r\nabc", " 400 ", "310"},
            {post + "Content-Length: 9\r\n\r\nabc", " 400 ", "310"},
            {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             " 400 ",
             "310"},
            {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\r\na\r\n0\r\n\r\n",
             " 400 ",
             "310"},
            {post + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
             " 400 ",
             "310"},
            {post + "Content-Length: 101\r\n\r\n" + std::string(101, 'x'),
             " 413 ",
             "311"},
            {post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                 std::string(101, 'x') + "\r\n0\r\n\r\n",
             " 413 ",
             "311"},
            {"nonsense\r\n\r\n", " 400 ", "310"},
            {"GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
             " 4",
             "31"},
        };
        for (auto const& [bytes, status, code] : malformed)
        {
            auto const response = raw_exchange(server->bound(), bytes);
            assert_contains(response, "HTTP/1.1" + status);
            assert_contains(response, "{\"code\":" + code);
        }
        CPPUNIT_ASSERT_EQUAL(0, runs.load());
    }

    // Guards against idle connections that occupy all threads.
    void connections_above_the_limit_are_closed()
    {
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        options.worker_threads = 4;
        options.max_keep_alive_connections = 1;
        options.keep_alive = std::chrono::hours(1);
        auto const server = http_server::start(options, echo);
        std::string const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        {
            keep_alive_connection first(server->bound());
            assert_contains(first.exchange(get), "Connection: keep-alive");
            keep_alive_connection second(server->bound());
            assert_contains(second.exchange(get), "Connection: close");
        }
        // Both connections are closed; the server detects this asynchronously.
        std::string response;
        while (response.find("Connection: keep-alive") == std::string::npos)
        {
            response = keep_alive_connection(server->bound()).exchange(get);
        }
    }

    // Guards against chunk headers that are read as part of the body.
    void chunked_body_arrives_complete()
    {
        auto const server = start_server(echo);
        auto const response = raw_exchange(
            server->bound(),
            "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assert_contains(response, "\r\n\r\nPOST /p abcde");
    }

    // Guards against a caller that waits forever for the interim response.
    void expect_100_continue_gets_an_interim_response()
    {
        auto const server = start_server(echo);
        auto const response = raw_exchange(
            server->bound(),
            "POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            "Content-Length: 3\r\n\r\nabc");
        assert_contains(response, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ");
        assert_contains(response, "POST /p abc");
    }

    // Guards against a body that the caller reads as the next response.
    void head_response_has_length_but_no_body()
    {
        auto const server = start_server(echo);
        auto const response = raw_exchange(
            server->bound(), "HEAD /p HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_contains(response, "Content-Length: 8\r\n");
        CPPUNIT_ASSERT(response.ends_with("\r\n\r\n"));
    }

    // Guards against responses without a clear end on one connection.
    void one_connection_serves_many_requests()
    {
        auto const server = start_server(echo);
        auto const response = raw_exchange(
            server->bound(),
            "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
            "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        assert_contains(response,
                        "Connection: keep-alive\r\n\r\nPOST /1 aHTTP/1.1 200");
        assert_contains(response, "Connection: close\r\n\r\nGET /2 ");
    }

    // Guards against header injection through a field value.
    void field_with_line_break_is_not_sent()
    {
        auto const server = start_server(
            [](http_request const&)
            {
                auto response = text_response("ok");
                response.fields.push_back({"X-A", "1\r\nX-Evil: 2"});
                response.fields.push_back({"Content-Length", "999"});
                return response;
            });
        auto const response =
            raw_exchange(server->bound(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(response.find("X-Evil") == std::string::npos);
        CPPUNIT_ASSERT(response.find("999") == std::string::npos);
    }

    // Guards against an exception in a handler that terminates the process.
    void handler_exception_is_outcome_unknown()
    {
        auto const server =
            start_server([](http_request const&) -> http_response
                         { throw std::runtime_error("broken"); });
        auto const response =
            raw_exchange(server->bound(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_contains(response, "{\"code\":302,\"name\":\"outcome_unknown\"");
    }

    // Guards against a stop that drops requests in progress or leaves later
    // ones without a response (invariant 9).
    void stop_finishes_requests_in_progress()
    {
        std::promise<void> entered;
        std::promise<void> release;
        auto const server = start_server(
            [&](http_request const& request)
            {
                if (request.target == "/slow")
                {
                    entered.set_value();
                    release.get_future().wait();
                }
                return echo(request);
            });
        auto const bytes = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
        auto response = std::async(std::launch::async,
                                   [&, to = server->bound()]
                                   { return raw_exchange(to, bytes); });
        entered.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->in_progress());
        auto stopped =
            std::async(std::launch::async, [&] { return server->stop(); });
        while (raw_exchange(server->bound(),
                            "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
                   .find("\"code\":307") == std::string::npos)
        {
        }
        release.set_value();
        assert_contains(response.get(), "GET /slow ");
        auto const summary = stopped.get();
        CPPUNIT_ASSERT(summary.finished >= 1);
        CPPUNIT_ASSERT(summary.refused >= 1);
    }

    // Guards against a program that starts although its port is in use.
    void port_in_use_is_reported()
    {
        auto const server = start_server(echo);
        server_options options;
        options.listen_on = server->bound();
        CPPUNIT_ASSERT(!http_server::start(options, echo));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::address_in_use);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace turmericswitch::web
