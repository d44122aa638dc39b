#include "admission/admission.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::admission
{

namespace
{

using std::chrono::milliseconds;

core::incarnation const self(7);
core::time_point const start_time{std::chrono::seconds(1)};

core::attempt_request make_attempt(std::uint64_t sequence,
                                   core::duration remaining = milliseconds(500),
                                   std::uint64_t gateway = 1)
{
    core::attempt_request request;
    request.id.request = {core::incarnation(gateway),
                          core::sequence_number(sequence)};
    request.id.number = core::attempt_number(1);
    request.id.sidecar = self;
    request.remaining = remaining;
    return request;
}

template <typename Action>
bool has_one(admission_actions const& actions)
{
    return actions.size() == 1 && std::holds_alternative<Action>(actions[0]);
}

core::attempt_answer refusal(admission_actions const& actions)
{
    CPPUNIT_ASSERT(has_one<refuse>(actions));
    return std::get<refuse>(actions[0]).content;
}

} // namespace

class admission_controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_controller_test);
    CPPUNIT_TEST(queues_up_to_its_bound_and_refuses_more);
    CPPUNIT_TEST(refuses_when_the_wait_would_outlast_the_deadline);
    CPPUNIT_TEST(connections_limit_running_attempts);
    CPPUNIT_TEST(forgotten_attempt_is_not_run_again);
    CPPUNIT_TEST(gateways_beyond_the_bound_are_refused);
    CPPUNIT_TEST(cancelled_attempt_is_refused_when_it_arrives);
    CPPUNIT_TEST(failed_connect_proves_not_run);
    CPPUNIT_TEST(drain_lets_running_attempts_finish);
    CPPUNIT_TEST(older_revision_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    void queues_up_to_its_bound_and_refuses_more()
    {
        admission_controller controller(self, {1, 60, 1});
        CPPUNIT_ASSERT(
            has_one<start>(controller.attempt(start_time, make_attempt(1))));
        CPPUNIT_ASSERT(
            has_one<queue>(controller.attempt(start_time, make_attempt(2))));
        auto const third =
            refusal(controller.attempt(start_time, make_attempt(3)));
        CPPUNIT_ASSERT(third.code == core::result_code::no_capacity);
        CPPUNIT_ASSERT(third.outcome == core::attempt_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(2U, third.in_use);

        auto const done =
            controller.backend_answered(start_time, make_attempt(1).id, {});
        CPPUNIT_ASSERT(std::get<start>(done[0]).request.id ==
                       make_attempt(2).id);
        CPPUNIT_ASSERT(std::holds_alternative<answer>(done[1]));
    }

    void refuses_when_the_wait_would_outlast_the_deadline()
    {
        admission_controller controller(self, {1, 60, 8});
        controller.attempt(start_time, make_attempt(1));
        auto const later = start_time + milliseconds(100);
        controller.backend_answered(later, make_attempt(1).id, {});
        controller.attempt(later, make_attempt(2));
        auto const answer = refusal(
            controller.attempt(later, make_attempt(3, milliseconds(50))));
        CPPUNIT_ASSERT(answer.code == core::result_code::no_capacity);
        CPPUNIT_ASSERT(has_one<queue>(
            controller.attempt(later, make_attempt(4, milliseconds(150)))));
    }

    void connections_limit_running_attempts()
    {
        admission_controller controller(self, {8, 1, 8});
        controller.attempt(start_time, make_attempt(1));
        CPPUNIT_ASSERT(
            has_one<queue>(controller.attempt(start_time, make_attempt(2))));
    }

    // Guards against running an attempt again after its end was evicted.
    void forgotten_attempt_is_not_run_again()
    {
        admission_controller controller(self, {1, 60, 1}, {2, 4});
        for (std::uint64_t i = 1; i <= 4; ++i)
        {
            controller.attempt(start_time, make_attempt(i));
            controller.backend_answered(start_time, make_attempt(i).id, {});
        }
        auto const answer =
            refusal(controller.attempt(start_time, make_attempt(1)));
        CPPUNIT_ASSERT(answer.outcome == core::attempt_outcome::unknown);
        CPPUNIT_ASSERT(answer.code == core::result_code::outcome_unknown);
    }

    void gateways_beyond_the_bound_are_refused()
    {
        admission_controller controller(self, {4, 60, 1}, {4, 1});
        controller.attempt(start_time, make_attempt(1));
        auto const answer = refusal(controller.attempt(
            start_time, make_attempt(1, milliseconds(500), 2)));
        CPPUNIT_ASSERT(answer.code == core::result_code::not_ready);
        CPPUNIT_ASSERT(
            has_one<start>(controller.attempt(start_time, make_attempt(2))));
    }

    // Guards against running a late duplicate after the gateway was told that
    // the attempt will not run.
    void cancelled_attempt_is_refused_when_it_arrives()
    {
        admission_controller controller(self, {1, 60, 1});
        auto const cancelled =
            controller.cancel(start_time, {make_attempt(1).id});
        CPPUNIT_ASSERT(std::get<answer_cancel>(cancelled[0]).content.outcome ==
                       core::cancel_outcome::cancelled);
        auto const late =
            refusal(controller.attempt(start_time, make_attempt(1)));
        CPPUNIT_ASSERT(late.code == core::result_code::attempt_cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, controller.running());
    }

    void failed_connect_proves_not_run()
    {
        for (bool const sent : {false, true})
        {
            admission_controller controller(self, {1, 60, 1});
            controller.attempt(start_time, make_attempt(1));
            auto const actions =
                controller.backend_failed(start_time, make_attempt(1).id, sent);
            CPPUNIT_ASSERT(std::get<answer>(actions[0]).content.outcome ==
                           (sent ? core::attempt_outcome::unknown
                                 : core::attempt_outcome::not_run));
        }
    }

    // Guards against a planned stop that aborts running requests.
    void drain_lets_running_attempts_finish()
    {
        admission_controller controller(self, {1, 60, 1});
        controller.attempt(start_time, make_attempt(1));
        controller.attempt(start_time, make_attempt(2));
        auto const waiting = refusal(controller.drain(start_time, true));
        CPPUNIT_ASSERT(waiting.id == make_attempt(2).id);
        CPPUNIT_ASSERT(waiting.code == core::result_code::draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, controller.running());
        CPPUNIT_ASSERT(has_one<answer>(
            controller.backend_answered(start_time, make_attempt(1).id, {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, controller.running());
    }

    // Guards against a delayed configuration returning a zone to service.
    void older_revision_is_ignored()
    {
        admission_controller controller(self, {1, 60, 1});
        controller.configure(start_time, core::revision(5), {1, 60, 1}, true);
        controller.configure(start_time, core::revision(4), {1, 60, 1}, false);
        auto const answer =
            refusal(controller.attempt(start_time, make_attempt(1)));
        CPPUNIT_ASSERT(answer.code == core::result_code::zone_out);
        CPPUNIT_ASSERT(answer.sidecar_revision == core::revision(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_controller_test);

} // namespace turmericswitch::admission
