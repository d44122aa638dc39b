#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Starts of tasks that must run only once, of which the call gets no answer.
/// Each test guards against a second call while the first one may still be
/// executed, so that the later of the two begins the task after its end, or
/// against a start that waits longer than it must.
class single_start_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(single_start_test);
    CPPUNIT_TEST(unanswered_start_is_not_called_again);
    CPPUNIT_TEST(repeated_order_makes_no_call);
    CPPUNIT_TEST(order_of_a_later_attempt_makes_no_call);
    CPPUNIT_TEST(next_incarnation_gets_no_call);
    CPPUNIT_TEST(call_with_an_answer_may_be_followed_by_another);
    CPPUNIT_TEST(listed_run_resolves_its_call);
    CPPUNIT_TEST(ended_run_resolves_its_call);
    CPPUNIT_TEST(listed_run_does_not_resolve_two_calls);
    CPPUNIT_TEST(run_that_never_begins_is_refused_when_its_call_is_too_old);
    CPPUNIT_TEST(run_is_refused_when_its_start_is_not_valid_any_more);
    CPPUNIT_TEST_SUITE_END();

public:
    void unanswered_start_is_not_called_again()
    {
        leave_start_unanswered();
        CPPUNIT_ASSERT(m_stops.empty());
        answer_last_sync(list_at(1000, {}));
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT(last_report().refused.empty());
        CPPUNIT_ASSERT(last_report().unresolved.runs == std::vector{m_run});
    }

    // The leader repeats an order until a list has its effect.
    void repeated_order_makes_no_call()
    {
        leave_start_unanswered();
        order_single_start(m_run);
        CPPUNIT_ASSERT(m_starts.empty());
    }

    // Guards against a leader that doesn't know of the open call.
    void order_of_a_later_attempt_makes_no_call()
    {
        leave_start_unanswered();
        order_single_start(m_second_attempt);
        CPPUNIT_ASSERT(m_starts.empty());
    }

    // The worker's restart has erased everything that could reject the call.
    void next_incarnation_gets_no_call()
    {
        leave_start_unanswered();
        m_agent->registered(profile("w1", 8000, 2));
        auto list = list_at(10, {});
        list.life = core::incarnation(2);
        answer_last_sync(list);
        m_reports.clear();
        m_polls.clear();
        CPPUNIT_ASSERT(m_starts.empty());
        report_again(list);
        order_single_start(m_second_attempt);
        CPPUNIT_ASSERT(m_starts.empty());
    }

    void call_with_an_answer_may_be_followed_by_another()
    {
        start_up_with_list();
        order_single_start(m_run);
        answer(m_starts, start_outcome::stale_token);
        order_single_start(m_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
    }

    // Guards against a task whose next attempt waits although the only call of
    // the last one has had its effect.
    void listed_run_resolves_its_call()
    {
        leave_start_unanswered();
        answer_last_sync(list_at(1000, {m_run}));
        CPPUNIT_ASSERT(last_report().unresolved.runs.empty());
    }

    // Guards against an end that is not acknowledged for seconds.
    void ended_run_resolves_its_call()
    {
        leave_start_unanswered();
        auto list = list_at(1000, {});
        list.runs.ended = {{1, m_run, core::run_end::failed, {}}};
        answer_last_sync(list);
        CPPUNIT_ASSERT(last_report().unresolved.runs.empty());
        grant(1);
        order_single_start(m_second_attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
    }

    // A long-running task is called again at once. The list doesn't tell which
    // of the calls has begun the run.
    void listed_run_does_not_resolve_two_calls()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::unknown);
        answer_last_sync(list_at(1000, {m_run}));
        CPPUNIT_ASSERT(last_report().unresolved.runs == std::vector{m_run});
    }

    // Guards against a run that stays placed for ever.
    void run_that_never_begins_is_refused_when_its_call_is_too_old()
    {
        leave_start_unanswered();
        answer_last_sync(list_at(1000, {}));
        grant(1);
        run_delayed_for(longest_call_delay);
        answer_last_sync(list_at(13'000, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        grant(1);
        answer(m_stops, true);
        answer_last_sync(list_at(13'010, {}));
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
        CPPUNIT_ASSERT(last_report().unresolved.runs.empty());
    }

    // Guards against a worker whose room is kept for a start that this
    // incarnation rejects. The next one may still execute it.
    void run_is_refused_when_its_start_is_not_valid_any_more()
    {
        leave_start_unanswered();
        answer_last_sync(list_at(lease_ms, {}));
        CPPUNIT_ASSERT(m_stops.empty());
        grant(1);
        answer_last_sync(list_at(lease_ms + 1, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        grant(1);
        answer(m_stops, true);
        answer_last_sync(list_at(lease_ms + 10, {}));
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
        CPPUNIT_ASSERT(last_report().unresolved.runs == std::vector{m_run});
    }

private:
    /// End of the lease in the fixture's grants, on the worker's clock.
    static constexpr std::int64_t lease_ms = 5000;

    void leave_start_unanswered()
    {
        start_up_with_list();
        order_single_start(m_run);
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT(m_starts.empty());
        m_reports.clear();
    }

    /// Lets the agent of a new incarnation report and ask for orders.
    void report_again(sync_result const& list)
    {
        m_agent->leader_changed({});
        run_delayed();
        answer_last_sync(list);
        grant(2);
    }

    core::task_run m_second_attempt = run_of("a", 0, 0, 2);
};

CPPUNIT_TEST_SUITE_REGISTRATION(single_start_test);

} // namespace turmericswitch::workflow
