#include "web/client/async_client.hpp"

#include "raw_socket.hpp"
#include "support/silencing_relay.hpp"
#include "web/server/http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

namespace turmericswitch::web
{

class async_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(async_client_test);
    CPPUNIT_TEST(many_requests_share_few_connections);
    CPPUNIT_TEST(silent_peer_times_out);
    CPPUNIT_TEST(request_to_closed_port_is_not_sent);
    CPPUNIT_TEST(timeout_drops_the_idle_connections_that_may_be_silent);
    CPPUNIT_TEST(timeout_drops_a_connection_that_was_used_since);
    CPPUNIT_TEST(lost_request_is_sent_once_if_its_caller_counts_tries);
    CPPUNIT_TEST(other_process_does_not_get_what_was_meant_for_the_first);
    CPPUNIT_TEST(peer_that_closes_each_connection_gets_the_content);
    CPPUNIT_TEST(peer_that_closes_without_notice_gets_the_content);
    CPPUNIT_TEST(peer_that_ends_does_not_count_as_one_that_always_closes);
    CPPUNIT_TEST(retry_that_is_refused_does_not_speak_for_the_first_try);
    CPPUNIT_TEST(connection_that_the_peer_has_closed_gets_no_request);
    CPPUNIT_TEST(connections_that_are_closed_together_count_as_one_loss);
    CPPUNIT_TEST(request_that_waits_too_long_in_the_queue_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more connections than max_connections: each new one has a
    // cost, and a worker accepts only a limited number.
    void many_requests_share_few_connections()
    {
        std::atomic<int> max_in_progress = 0;
        std::atomic<int> in_progress = 0;
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto const server = http_server::start(
            options,
            [&](http_request const& request)
            {
                max_in_progress = std::max<int>(max_in_progress, ++in_progress);
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
                --in_progress;
                return text_response(request.body);
            });
        transport::io_pool io(1);
        async_client_options client_options;
        client_options.max_connections = 3;
        async_client client(io, server->bound(), client_options);
        std::vector<std::future<http_result>> results;
        results.reserve(30);
        for (int i = 0; i < 30; ++i)
        {
            results.push_back(send(client, std::to_string(i)));
        }
        for (int i = 0; i < 30; ++i)
        {
            auto const result = results[static_cast<std::size_t>(i)].get();
            CPPUNIT_ASSERT(result.outcome == http_outcome::answered);
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), result.response.body);
        }
        CPPUNIT_ASSERT(max_in_progress <= 3);
    }

    // Guards against a request without a response that delays other requests.
    void silent_peer_times_out()
    {
        std::promise<void> release;
        auto const released = release.get_future().share();
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto const server =
            http_server::start(options,
                               [released](http_request const& request)
                               {
                                   if (request.body == "hang")
                                   {
                                       released.wait();
                                   }
                                   return text_response("late");
                               });
        transport::io_pool io(1);
        async_client client(io, server->bound());
        auto hanging = send(client, "hang", std::chrono::milliseconds(50));
        auto other = send(client, "quick");
        CPPUNIT_ASSERT(hanging.get().outcome == http_outcome::lost);
        CPPUNIT_ASSERT(other.get().outcome == http_outcome::answered);
        release.set_value();
    }

    // Guards against reporting that a request may have run although no
    // connection was made.
    void request_to_closed_port_is_not_sent()
    {
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto server = http_server::start(
            options, [](http_request const&) { return text_response(""); });
        auto const closed_endpoint = server->bound();
        server.reset();
        transport::io_pool io(1);
        async_client client(io, closed_endpoint);
        CPPUNIT_ASSERT(send(client, "x").get().outcome ==
                       http_outcome::not_sent);
    }

    // Guards against a silent connection that fails one request after another.
    // All open connections to a worker may fall silent at once; each later
    // request then took another idle one and waited for its timeout, so that
    // a sidecar could not reach its worker for many seconds.
    void timeout_drops_the_idle_connections_that_may_be_silent()
    {
        constexpr std::size_t parallel = 4;
        std::atomic<std::size_t> in_progress = 0;
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto const server = http_server::start(
            options,
            [&](http_request const& request)
            {
                ++in_progress;
                while (request.body == "together" && in_progress < parallel)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
                return text_response(request.body);
            });
        turmericswitch::testing::silencing_relay relay(server->bound());
        transport::io_pool io(1);
        async_client client(io, relay.address());
        std::vector<std::future<http_result>> first;
        for (std::size_t i = 0; i < parallel; ++i)
        {
            first.push_back(send(client, "together"));
        }
        for (auto& each : first)
        {
            CPPUNIT_ASSERT(each.get().outcome == http_outcome::answered);
        }
        CPPUNIT_ASSERT_EQUAL(parallel, relay.accepted());
        relay.silence();
        CPPUNIT_ASSERT(
            send(client, "x", std::chrono::milliseconds(50)).get().outcome ==
            http_outcome::lost);
        CPPUNIT_ASSERT(
            send(client, "y", std::chrono::seconds(5)).get().outcome ==
            http_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(parallel + 1, relay.accepted());
    }

    // Guards against trusting a connection because of an answer that came while
    // the silent request waited: it may have fallen silent after that answer.
    // A sync call waits for up to 1 s, so such an answer is common.
    void timeout_drops_a_connection_that_was_used_since()
    {
        std::promise<void> release;
        auto const released = release.get_future().share();
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto const server =
            http_server::start(options,
                               [released](http_request const& request)
                               {
                                   if (request.body == "hang")
                                   {
                                       released.wait();
                                   }
                                   return text_response(request.body);
                               });
        turmericswitch::testing::silencing_relay relay(server->bound());
        transport::io_pool io(1);
        async_client client(io, relay.address());
        auto hanging = send(client, "hang", std::chrono::milliseconds(500));
        send(client, "quick").get();
        relay.silence();
        auto const timed_out = hanging.get();
        auto const next = send(client, "quick", std::chrono::seconds(5)).get();
        // Before the checks, because the server waits for its handler.
        release.set_value();
        CPPUNIT_ASSERT(timed_out.outcome == http_outcome::lost);
        CPPUNIT_ASSERT(next.outcome == http_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, relay.accepted());
    }

    // A worker that ends closes its connections, and the start that it has read
    // may still be executed late. Guards against a client that sends the start
    // again by itself, so that it reaches the next incarnation, and a refusal
    // of the second one is taken for certain.
    void lost_request_is_sent_once_if_its_caller_counts_tries()
    {
        closing_server const server;
        transport::io_pool io(1);
        async_client client(io, server.address());
        CPPUNIT_ASSERT(send(client, "first").get().outcome ==
                       http_outcome::answered);
        CPPUNIT_ASSERT(send(client,
                            "second",
                            std::chrono::seconds(20),
                            lost_request::failed)
                           .get()
                           .outcome == http_outcome::lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requests());
    }

    // A worker that restarts closes its connections and listens again at its
    // address. Guards against an acknowledgement for the earlier incarnation
    // that reaches the next one, also by the client's own retry.
    void other_process_does_not_get_what_was_meant_for_the_first()
    {
        closing_server const server;
        transport::io_pool io(1);
        async_client client(io, server.address());
        CPPUNIT_ASSERT(send_on_open(client).get().outcome ==
                       http_outcome::answered);
        CPPUNIT_ASSERT(send_on_open(client).get().outcome ==
                       http_outcome::answered);
        // The second one was read, and lost with its connection.
        std::vector<std::string> const expected{
            "/for-any", "/for-the-first", "/for-any"};
        auto targets = server.targets();
        targets.resize(expected.size());
        CPPUNIT_ASSERT(targets == expected);
    }

    // Guards against a peer without persistent connections that never gets an
    // acknowledgement.
    void peer_that_closes_each_connection_gets_the_content()
    {
        closing_server const server(1, closing_server::close_mode::announced);
        expect_targets(server,
                       {"/for-any", "/for-the-first", "/for-the-first"});
    }

    // Guards against a worker that never gets a lease or an acknowledgement
    // because it answers one request on each connection.
    void peer_that_closes_without_notice_gets_the_content()
    {
        closing_server const server;
        transport::io_pool io(1);
        async_client client(io, server.address());
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(send_on_open(client).get().outcome ==
                           http_outcome::answered);
        }
        // Each request but the first is read once on the connection of the
        // last response, where it is lost, and then on a new one.
        std::vector<std::string> const expected{"/for-any",
                                                "/for-the-first",
                                                "/for-any",
                                                "/for-the-first",
                                                "/for-any",
                                                "/for-the-first",
                                                "/for-the-first"};
        CPPUNIT_ASSERT(server.targets() == expected);
    }

    // A server that shuts down closes the open connection after its last
    // response. Guards against an acknowledgement on a new connection, which
    // may lead to the next incarnation of the worker.
    void peer_that_ends_does_not_count_as_one_that_always_closes()
    {
        closing_server const server(2, closing_server::close_mode::announced);
        expect_targets(server, {"/for-any", "/for-the-first", "/for-any"});
    }

    // The peer closes its port, reads a request and closes the connection, as a
    // worker that ends does. Guards against reporting that a request was not
    // sent because its retry found no connection; the peer has read the first
    // try.
    void retry_that_is_refused_does_not_speak_for_the_first_try()
    {
        listening_socket const listener;
        std::thread peer(
            [&listener]
            {
                int const socket = listener.accept();
                listener.shut_down();
                read_request_header(socket);
                send_all(socket, empty_response);
                read_request_header(socket);
                ::close(socket);
            });
        transport::io_pool io(1);
        async_client client(io, listener.address());
        auto const first = send(client, "x").get();
        auto const second = send(client, "y").get();
        peer.join();
        CPPUNIT_ASSERT(first.outcome == http_outcome::answered);
        CPPUNIT_ASSERT(second.outcome == http_outcome::lost);
    }

    // A worker that has restarted, or closes connections that are idle. Guards
    // against a start that is lost on a connection that can't carry it: it must
    // not be called again for seconds, because it might be executed late.
    void connection_that_the_peer_has_closed_gets_no_request()
    {
        scripted_server const server({empty_response, empty_response});
        transport::io_pool io(1);
        async_client client(io, server.address());
        for (std::size_t i = 1; i <= 2; ++i)
        {
            CPPUNIT_ASSERT(
                send(
                    client, "x", std::chrono::seconds(20), lost_request::failed)
                    .get()
                    .outcome == http_outcome::answered);
            while (server.closed() < i)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
    }

    // A worker that restarts closes all of its connections. Guards against an
    // acknowledgement for the earlier incarnation that reaches the next one,
    // because the worker is taken for one that always closes.
    void connections_that_are_closed_together_count_as_one_loss()
    {
        constexpr std::size_t parallel = 4;
        std::atomic<std::size_t> in_progress = 0;
        server_options options;
        options.listen_on = {"127.0.0.1", 0};
        auto server = http_server::start(
            options,
            [&in_progress](http_request const&)
            {
                for (++in_progress; in_progress < parallel;)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
                return text_response("");
            });
        options.listen_on = server->bound();
        transport::io_pool io(1);
        async_client client(io, server->bound());
        std::vector<std::future<http_result>> first;
        for (std::size_t i = 0; i < parallel; ++i)
        {
            first.push_back(send(client, "together"));
        }
        for (auto& each : first)
        {
            CPPUNIT_ASSERT(each.get().outcome == http_outcome::answered);
        }
        server.reset();
        server = http_server::start(options,
                                    [](http_request const& request)
                                    { return text_response(request.target); });
        CPPUNIT_ASSERT_EQUAL(std::string("/for-any"),
                             send_on_open(client).get().response.body);
    }

    // Calls without an answer hold all connections until they time out. Guards
    // against a start that was never sent and counts as one that the worker may
    // execute late.
    void request_that_waits_too_long_in_the_queue_is_not_sent()
    {
        listening_socket const silent;
        transport::io_pool io(1);
        async_client_options options;
        options.max_connections = 1;
        async_client client(io, silent.address(), options);
        auto first = send(client, "x", std::chrono::milliseconds(100));
        auto second = send(client, "y", std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(first.get().outcome == http_outcome::lost);
        CPPUNIT_ASSERT(second.get().outcome == http_outcome::not_sent);
    }

private:
    static constexpr char const* empty_response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    /// Sends as many requests for one process as there are targets.
    static void expect_targets(closing_server const& server,
                               std::vector<std::string> const& targets)
    {
        transport::io_pool io(1);
        async_client client(io, server.address());
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            CPPUNIT_ASSERT(send_on_open(client).get().outcome ==
                           http_outcome::answered);
        }
        CPPUNIT_ASSERT(server.targets() == targets);
    }

    static std::future<http_result> send_on_open(async_client& client)
    {
        auto const promise = std::make_shared<std::promise<http_result>>();
        client.request_on_open_connection(
            {"POST", "/for-the-first", {}, ""},
            {"POST", "/for-any", {}, ""},
            std::chrono::seconds(20),
            [promise](http_result result)
            { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    static std::future<http_result>
    send(async_client& client,
         std::string body,
         core::duration timeout = std::chrono::seconds(20),
         lost_request lost = lost_request::retried)
    {
        auto const promise = std::make_shared<std::promise<http_result>>();
        client.request(
            {"POST", "/", {}, std::move(body)},
            timeout,
            [promise](http_result result)
            { promise->set_value(std::move(result)); },
            lost);
        return promise->get_future();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(async_client_test);

} // namespace turmericswitch::web
