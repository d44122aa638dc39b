#include "worker_agent_fixture.hpp"

#include <chrono>

namespace turmericswitch::workflow
{

using namespace testing;

/// The reports on starts that the worker may still execute. Each test guards
/// against a leader that places the task elsewhere while this worker, or its
/// next incarnation, executes such a start, or that waits for one without need.
class unresolved_starts_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(unresolved_starts_test);
    CPPUNIT_TEST(start_that_is_not_answered_yet_is_reported);
    CPPUNIT_TEST(answered_start_is_not_reported);
    CPPUNIT_TEST(refusal_of_the_second_call_does_not_resolve_the_first);
    CPPUNIT_TEST(confirmed_stop_does_not_resolve_the_start);
    CPPUNIT_TEST(restart_under_the_id_does_not_resolve_the_start);
    CPPUNIT_TEST(answer_after_a_restart_resolves_the_start);
    CPPUNIT_TEST(start_is_resolved_when_it_can_not_be_executed_any_more);
    CPPUNIT_TEST(each_call_of_a_start_has_its_own_delay);
    CPPUNIT_TEST(worker_under_another_id_resolves_all_starts);
    CPPUNIT_TEST(starts_of_an_earlier_sidecar_are_unknown_at_first);
    CPPUNIT_TEST(resolved_start_is_reported_while_the_worker_is_silent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr core::duration just_below_longest_delay =
        longest_call_delay - std::chrono::milliseconds(1);

public:
    // Guards against a worker that crashes while the call is open.
    void start_that_is_not_answered_yet_is_reported()
    {
        start_up_with_list();
        order_start();
        report_next_list();
        expect_unresolved({m_run});
    }

    // Guards against a task that waits for a start that was answered.
    void answered_start_is_not_reported()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::started);
        report_next_list();
        expect_unresolved({});
    }

    // Guards against the answer of one call that is taken for all of them.
    void refusal_of_the_second_call_does_not_resolve_the_first()
    {
        leave_start_unanswered();
        answer(m_starts, start_outcome::refused);
        report_next_list();
        expect_unresolved({m_run});
    }

    // Guards against a tombstone that the worker's restart erases.
    void confirmed_stop_does_not_resolve_the_start()
    {
        leave_start_unanswered();
        answer(m_starts, start_outcome::refused);
        report_next_list();
        grant(1);
        answer(m_stops, true);
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
        expect_unresolved({m_run});
    }

    // Guards against a start that the next incarnation executes: a call names
    // only the worker's id.
    void restart_under_the_id_does_not_resolve_the_start()
    {
        leave_start_unanswered();
        answer(m_starts, start_outcome::refused);
        m_agent->registered(profile("w1", 8000, 2));
        expect_unresolved({m_run});
    }

    // Guards against a start that stays unresolved because its answer comes in
    // the next incarnation.
    void answer_after_a_restart_resolves_the_start()
    {
        start_up_with_list();
        order_start();
        m_agent->registered(profile("w1", 8000, 2));
        expect_unresolved({m_run});
        answer(m_starts, start_outcome::refused);
        answer_last_sync(list_at(10, {}));
        expect_unresolved({});
    }

    // Guards against a start that is dropped too early, and against a task that
    // waits for ever.
    void start_is_resolved_when_it_can_not_be_executed_any_more()
    {
        leave_start_unanswered();
        answer(m_starts, start_outcome::refused);
        run_delayed_for(just_below_longest_delay);
        report_next_list();
        expect_unresolved({m_run});
        grant(1);
        run_delayed_for(longest_call_delay);
        report_next_list();
        expect_unresolved({});
    }

    // Guards against the oldest call of a start that resolves later ones.
    void each_call_of_a_start_has_its_own_delay()
    {
        leave_start_unanswered();
        run_delayed_for(longest_call_delay);
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        report_next_list();
        expect_unresolved({m_run});
    }

    // Guards against a task that waits although the worker rejects calls for
    // another id.
    void worker_under_another_id_resolves_all_starts()
    {
        leave_start_unanswered();
        m_agent->registered(profile("w2", 8000, 2));
        auto confirmed = list_at(10, {});
        confirmed.life = core::incarnation(2);
        answer_last_sync(confirmed);
        CPPUNIT_ASSERT(last_report().profile.worker == core::worker_id("w2"));
        expect_unresolved({});
    }

    // Guards against starts of an earlier sidecar that the leader takes for
    // resolved because this one doesn't know them.
    void starts_of_an_earlier_sidecar_are_unknown_at_first()
    {
        run_delayed_for(just_below_longest_delay);
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(!last_report().unresolved.is_complete);
        grant(1);
        run_delayed_for(longest_call_delay);
        report_next_list();
        CPPUNIT_ASSERT(last_report().unresolved.is_complete);
    }

    // Guards against a task that waits for a worker that is gone until the
    // leader's own bound, which is longer.
    void resolved_start_is_reported_while_the_worker_is_silent()
    {
        leave_start_unanswered();
        answer(m_starts, start_outcome::refused);
        answer_last_sync(std::nullopt);
        grant(1);
        run_delayed_for(longest_call_delay);
        CPPUNIT_ASSERT(last_report().silent);
        expect_unresolved({});
    }

private:
    /// The first call of the start gets no answer, and the second is open.
    void leave_start_unanswered()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
    }

    void report_next_list()
    {
        m_reports.clear();
        auto const other = run_of("other", 0, 0);
        // A list that differs from the one before is reported at once.
        answer_last_sync(m_lists++ % 2 == 0 ? list_at(1000, {other})
                                            : list_at(2000, {}));
    }

    void expect_unresolved(std::vector<core::task_run> const& runs) const
    {
        CPPUNIT_ASSERT(last_report().unresolved.runs == runs);
    }

    int m_lists = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unresolved_starts_test);

} // namespace turmericswitch::workflow
