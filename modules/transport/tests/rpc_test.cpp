#include "transport/tests/rpc_fixture.hpp"

#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace turmericswitch::transport
{

class rpc_test : public rpc_fixture
{
    CPPUNIT_TEST_SUITE(rpc_test);
    CPPUNIT_TEST(bodies_of_all_sizes_come_back_whole);
    CPPUNIT_TEST(answers_in_any_order_reach_their_own_call);
    CPPUNIT_TEST(more_calls_than_streams_all_finish);
    CPPUNIT_TEST(a_stop_cuts_no_open_call);
    CPPUNIT_TEST(a_restarted_peer_is_reached_again);
    CPPUNIT_TEST_SUITE_END();

    // Guards against stalled flow control, and against lost or repeated parts
    // of a body.
    void bodies_of_all_sizes_come_back_whole()
    {
        auto const server = serve(echo);
        auto const client = client_of(server->bound());
        for (std::size_t const size :
             {0U, 1U, 16384U, 65535U, 65536U, 1U << 20U, 16U << 20U})
        {
            std::string body(size, 'x');
            for (std::size_t i = 0; i < size; ++i)
            {
                body[i] = static_cast<char>(i * 31 / 7);
            }
            auto const result = start(*client, body).get();
            CPPUNIT_ASSERT(result.outcome == call_outcome::answered);
            CPPUNIT_ASSERT(result.body == body);
        }
        CPPUNIT_ASSERT(client->transferred().sent > 16U << 20U);
        CPPUNIT_ASSERT(client->transferred().received > 16U << 20U);
    }

    // Guards against answers delivered to the wrong call. The server holds all
    // calls of a round; another thread answers them in random order.
    void answers_in_any_order_reach_their_own_call()
    {
        std::vector<std::pair<rpc_request, responder>> held;
        auto const server = serve(
            [&](rpc_request request, responder reply)
            {
                std::lock_guard const lock(m_mutex);
                held.emplace_back(std::move(request), std::move(reply));
            });
        auto const client = client_of(server->bound());
        auto const held_count = [&]
        {
            std::lock_guard const lock(m_mutex);
            return held.size();
        };
        testing::check_property(
            "answers_in_any_order",
            {.seed = 11, .max_success = 30, .max_size = 60},
            [&]
            {
                auto const bodies = *rc::gen::nonEmpty(
                    rc::gen::arbitrary<std::vector<std::string>>());
                auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                std::vector<std::future<call_result>> results;
                for (std::size_t i = 0; i < bodies.size(); ++i)
                {
                    results.push_back(
                        start(*client, std::to_string(i) + bodies[i]));
                }
                wait_until([&] { return held_count() == bodies.size(); });
                auto const random = core::seeded_random(seed);
                for (std::size_t i = held.size(); i > 1; --i)
                {
                    std::swap(held[i - 1], held[core::random_below(random, i)]);
                }
                for (auto const& [request, reply] : held)
                {
                    reply.answer(request.body);
                }
                held.clear();
                for (std::size_t i = 0; i < bodies.size(); ++i)
                {
                    RC_ASSERT(results[i].get().body ==
                              std::to_string(i) + bodies[i]);
                }
            });
    }

    // Guards against calls above the stream limit that never start.
    void more_calls_than_streams_all_finish()
    {
        auto const server = serve(echo, {.stream_limit = 3});
        auto const client = client_of(server->bound());
        std::vector<std::future<call_result>> results;
        results.reserve(500);
        for (int i = 0; i < 500; ++i)
        {
            results.push_back(start(*client, std::to_string(i)));
        }
        for (int i = 0; i < 500; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(
                std::to_string(i),
                results[static_cast<std::size_t>(i)].get().body);
        }
    }

    // Guards against a stop that cuts open calls (invariant 9): they are
    // answered, later ones end as not_sent, and then the server reports that
    // it has drained.
    void a_stop_cuts_no_open_call()
    {
        std::vector<std::pair<rpc_request, responder>> held;
        auto server = serve(
            [&](rpc_request request, responder reply)
            {
                std::lock_guard const lock(m_mutex);
                held.emplace_back(std::move(request), std::move(reply));
            });
        auto const client = client_of(server->bound());
        std::string const large(std::size_t{4} << 20, 'b');
        std::vector<std::future<call_result>> open;
        open.reserve(8);
        for (int i = 0; i < 8; ++i)
        {
            open.push_back(start(*client, large));
        }
        wait_until([&] { return server->open_calls() == open.size(); });
        server->stop_accepting();
        while (true)
        {
            auto late = start(*client, "late");
            if (late.wait_for(std::chrono::milliseconds(20)) ==
                std::future_status::ready)
            {
                CPPUNIT_ASSERT(late.get().outcome == call_outcome::not_sent);
                break;
            }
            open.push_back(std::move(late));
        }
        // A call in transit at the stop is either excluded by the GOAWAY or
        // reaches the handler.
        wait_until(
            [&]
            {
                auto const waiting = std::count_if(
                    open.begin(),
                    open.end(),
                    [](std::future<call_result> const& one) {
                        return one.wait_for(std::chrono::seconds(0)) !=
                               std::future_status::ready;
                    });
                return server->open_calls() ==
                       static_cast<std::size_t>(waiting);
            });
        CPPUNIT_ASSERT(!server->drained());
        for (auto const& [request, reply] : held)
        {
            reply.answer(request.body);
        }
        for (std::size_t i = 0; i < 8; ++i)
        {
            CPPUNIT_ASSERT(open[i].get().body == large);
        }
        wait_until([&] { return server->drained(); });
    }

    // Guards against a client that keeps using a closed connection.
    void a_restarted_peer_is_reached_again()
    {
        auto server = serve(echo);
        auto const where = server->bound();
        auto const client = client_of(where);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), start(*client, "a").get().body);
        server.reset();
        server = rpc_server::listen(m_io, where, echo);
        CPPUNIT_ASSERT(server != nullptr);
        wait_until([&] { return start(*client, "b").get().body == "b"; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_test);

} // namespace turmericswitch::transport
