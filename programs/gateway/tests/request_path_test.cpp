#include "gateway/tests/request_path_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::testing
{

namespace
{

constexpr char const* rules =
    "zone a region=n # asked by A: test\n"
    "service s slots=8 connections=60 timeout=60s attempts=3 retries=100% "
    "# asked by A: test\n"
    "route / service=s idempotent=GET # asked by A: test\n";

} // namespace

class request_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_path_test);
    CPPUNIT_TEST(concurrent_requests_get_complete_answers);
    CPPUNIT_TEST(request_with_a_truncated_answer_runs_once);
    CPPUNIT_TEST(draining_sidecar_refuses_and_others_serve);
    CPPUNIT_TEST(key_runs_once_through_two_gateways);
    CPPUNIT_TEST(claim_is_repeated_after_its_leader_was_deposed);
    CPPUNIT_TEST(attempt_for_an_earlier_incarnation_does_not_run);
    CPPUNIT_TEST(graceful_stop_cuts_off_no_request);
    CPPUNIT_TEST(routing_continues_without_control);
    CPPUNIT_TEST_SUITE_END();

    // Guards against answers that are mixed up, truncated or missing under
    // concurrent requests (invariant 5).
    void concurrent_requests_get_complete_answers()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend first;
        echo_backend second;
        sidecar_node one(control, "one", first.where(), 11);
        sidecar_node two(control, "two", second.where(), 12);
        gateway_node left(control, 1);
        gateway_node right(control, 2);
        left.wait_for_backends(2);
        right.wait_for_backends(2);
        constexpr int rounds = 25;
        auto const caller = [](gateway_node& gateway, std::string name)
        {
            for (int i = 0; i < rounds; ++i)
            {
                auto const body = name + std::to_string(i) +
                                  std::string(i * 3000, name.front());
                auto const answer = gateway.post(body);
                if (outcome_of(answer) != "ran" || answer.body != body)
                {
                    return false;
                }
            }
            return true;
        };
        std::vector<std::future<bool>> callers;
        for (char name = 'a'; name < 'g'; ++name)
        {
            callers.push_back(std::async(std::launch::async,
                                         caller,
                                         std::ref(name % 2 ? left : right),
                                         std::string(1, name)));
        }
        for (auto& each : callers)
        {
            CPPUNIT_ASSERT(each.get());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6 * rounds),
                             first.hits() + second.hits());
    }

    // Guards against a request that runs again after its answer was truncated,
    // and against one that ran but is reported as not run (invariants 6 and 7).
    void request_with_a_truncated_answer_runs_once()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend echo;
        truncating_backend truncating;
        sidecar_node one(control, "one", echo.where(), 11);
        sidecar_node two(control, "two", truncating.where(), 12);
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(2);
        std::size_t sent = 0;
        std::size_t unknown = 0;
        while (truncating.hits() < 3 && sent < 200)
        {
            ++sent;
            auto const answer = gateway.post("x");
            auto const outcome = outcome_of(answer);
            unknown += outcome == "outcome_unknown" ? 1 : 0;
            CPPUNIT_ASSERT(outcome == "outcome_unknown" || answer.body == "x");
        }
        CPPUNIT_ASSERT(truncating.hits() > 0);
        CPPUNIT_ASSERT_EQUAL(truncating.hits(), unknown);
        CPPUNIT_ASSERT_EQUAL(sent, truncating.hits() + echo.hits());
    }

    // Guards against new requests to a backend server that drains, and against
    // requests that fail because of the drain (invariants 6 and 8).
    void draining_sidecar_refuses_and_others_serve()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend draining;
        echo_backend serving;
        sidecar_node one(control, "one", draining.where(), 11);
        sidecar_node two(control, "two", serving.where(), 12);
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(2);
        // The gateway's table keeps the draining backend server.
        control.hold_polls(true);
        one.service().drain();
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                                 outcome_of(gateway.post("x")));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), draining.hits());
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), serving.hits());
        wait_for([&] { return control.draining_announces() > 0; });
    }

    // Guards against a request with an idempotency key that runs again when it
    // is resent through another gateway, while the first is running or after
    // it (invariant 7).
    void key_runs_once_through_two_gateways()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend backend;
        sidecar_node one(control, "one", backend.where(), 11);
        gateway_node left(control, 1);
        gateway_node right(control, 2);
        left.wait_for_backends(1);
        right.wait_for_backends(1);
        auto first =
            left.send({"POST", "/hold", {{"Idempotency-Key", "k"}}, "body"});
        wait_for([&] { return backend.held() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                             outcome_of(right.post("body", "k", "/hold")));
        backend.release_held();
        auto const answer = first.get();
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), outcome_of(answer));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), answer.body);
        CPPUNIT_ASSERT(outcome_of(right.post("body", "k", "/hold")) != "ran");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), backend.hits());
    }

    // A leader that is deposed answers that a claim may or may not be made.
    // Guards against a gateway that takes this for the claim of another
    // request: it then refuses a request that has not run, and each resend of
    // its key for as long as the claim is kept.
    void claim_is_repeated_after_its_leader_was_deposed()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend backend;
        sidecar_node one(control, "one", backend.where(), 11);
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(1);
        control.depose_during_next_command(true);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                             outcome_of(gateway.post("x", "committed")));
        control.depose_during_next_command(false);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                             outcome_of(gateway.post("x", "not committed")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), backend.hits());
    }

    // Guards against running an attempt that was meant for an earlier
    // incarnation of the sidecar. The earlier one may have run a copy of it, so
    // the new one can't report that it did not run (invariants 6 and 7).
    void attempt_for_an_earlier_incarnation_does_not_run()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend backend;
        auto one =
            std::make_unique<sidecar_node>(control, "one", backend.where(), 11);
        auto const port = one->where().port;
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(1);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), outcome_of(gateway.post("x")));
        control.hold_polls(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), one->stop());
        one.reset();
        one = std::make_unique<sidecar_node>(
            control, "one", backend.where(), 12, port);
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                             outcome_of(gateway.post("x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), backend.hits());
        control.hold_polls(false);
        wait_for([&] { return outcome_of(gateway.post("x")) == "ran"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), backend.hits());
    }

    // Guards against requests in progress that are cut off by a planned stop
    // (invariant 9).
    void graceful_stop_cuts_off_no_request()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend backend;
        sidecar_node one(control, "one", backend.where(), 11);
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(1);
        std::vector<std::future<web::http_response>> running;
        running.reserve(4);
        for (int i = 0; i < 4; ++i)
        {
            running.push_back(
                gateway.send({"POST", "/hold", {}, std::to_string(i)}));
        }
        wait_for([&] { return backend.held() == 4; });
        auto cut = std::async(std::launch::async, [&] { return one.stop(); });
        wait_for([&] { return control.draining_announces() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("late")));
        backend.release_held();
        for (int i = 0; i < 4; ++i)
        {
            auto const answer = running[static_cast<std::size_t>(i)].get();
            CPPUNIT_ASSERT_EQUAL(std::string("ran"), outcome_of(answer));
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), answer.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cut.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), backend.hits());
    }

    // Guards against a gateway that needs control for each request, and against
    // a request with an idempotency key that runs unclaimed (invariant 7).
    void routing_continues_without_control()
    {
        transport::io_pool io(2);
        fake_control control(io, rules);
        echo_backend backend;
        sidecar_node one(control, "one", backend.where(), 11);
        gateway_node gateway(control, 1);
        gateway.wait_for_backends(1);
        control.disconnect();
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                                 outcome_of(gateway.post("x")));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("x", "key")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), backend.hits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_path_test);

} // namespace turmericswitch::testing
