#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// What an answer to one start call proves of the run, if other calls for it
/// were made: by this sidecar, by the one before, or on a repeated order.
class start_certainty_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(start_certainty_test);
    CPPUNIT_TEST(repeated_order_of_a_begun_run_is_not_refused);
    CPPUNIT_TEST(begun_run_that_a_list_lacks_is_not_refused_by_one_call);
    CPPUNIT_TEST(refusal_after_a_list_has_shown_the_run_is_dropped);
    CPPUNIT_TEST(restarted_sidecar_does_not_start_a_listed_run);
    CPPUNIT_TEST(restarted_sidecar_starts_a_run_that_its_first_list_lacks);
    CPPUNIT_TEST(refusal_beside_a_cut_list_is_not_certain);
    CPPUNIT_TEST(run_that_began_without_an_answer_is_not_stopped);
    CPPUNIT_TEST(ended_run_in_the_list_is_not_started_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // The users' line of issue 54: a leader that does not see a run yet repeats
    // its order, and the sick worker refuses that call. Guards against a second
    // run of a task beside the one that has begun.
    void repeated_order_of_a_begun_run_is_not_refused()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::started);
        order_start();
        refuse_open_starts();
        expect_no_refusal();
        list_current({m_run});
        expect_no_refusal();
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // The same, once a list has lacked the begun run: the order is carried out
    // again, because only the worker can tell that the run has ended.
    void begun_run_that_a_list_lacks_is_not_refused_by_one_call()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::started);
        list_current({});
        grant(1);
        list_current({});
        grant(1);
        order_start();
        refuse_open_starts();
        expect_no_refusal();
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // The first call began the run, and its answer was lost. A list shows the
    // run while the second call is open, which the worker then refuses. Guards
    // against a second run of the task.
    void refusal_after_a_list_has_shown_the_run_is_dropped()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        list_current({m_run});
        answer(m_starts, start_outcome::refused);
        grant(1);
        expect_no_refusal();
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT(has_event(core::event_code::run_started));
    }

    // The sidecar before this one has started the run. Guards against a refusal
    // of this sidecar's first call that is taken for a run without effect.
    void restarted_sidecar_does_not_start_a_listed_run()
    {
        start_up();
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
        answer(m_syncs, std::optional(list_at(10, {m_run})));
        CPPUNIT_ASSERT(m_starts.empty());
        grant(1);
        order_start();
        refuse_open_starts();
        expect_no_refusal();
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // The first list is made after the worker has seen this sidecar's token, so
    // no call of the sidecar before can begin the run any more. Guards against
    // a start that waits for a repeated order.
    void restarted_sidecar_starts_a_run_that_its_first_list_lacks()
    {
        start_up();
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
        answer(m_syncs, std::optional(list_at(10, {})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        answer(m_starts, start_outcome::refused);
        grant(1);
        list_current({});
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // The end of a run that the sidecar before has started may be in the rest
    // of the list. Guards against a task that is started again after its end.
    void refusal_beside_a_cut_list_is_not_certain()
    {
        start_up();
        sync_result cut;
        cut.runs.ended = {{1, run_of("b", 0, 0), core::run_end::done, {}}};
        cut.runs.may_have_more_ends = true;
        answer(m_syncs, std::optional(cut));
        grant(1);
        order_start();
        refuse_open_starts();
        expect_no_refusal();
    }

    // A call without an answer has begun the run, and the next one is refused.
    // Guards against work that is stopped although the next list would show it.
    void run_that_began_without_an_answer_is_not_stopped()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_stops.empty());
        // The call that waits for an end began before the refusal.
        CPPUNIT_ASSERT(m_syncs.back().call.wait == core::duration{});
        answer_last_sync(list_at(20, {m_run}));
        CPPUNIT_ASSERT(m_stops.empty());
        expect_no_refusal();
    }

    // An order that was made before the leader read the end. Guards against a
    // refusal of the start that competes with the end of the run.
    void ended_run_in_the_list_is_not_started_again()
    {
        start_up();
        sync_result lists;
        lists.runs.ended = {{1, m_run, core::run_end::done, {}}};
        answer(m_syncs, std::optional(lists));
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
        grant(1);
        expect_no_refusal();
    }

private:
    /// The worker refuses each call that is open, as a sick one does.
    void refuse_open_starts()
    {
        while (!m_starts.empty())
        {
            answer(m_starts, start_outcome::refused);
        }
    }

    /// Answers the sync call that was begun last.
    void list_current(std::vector<core::task_run> const& runs)
    {
        auto lists = list_at(20, runs);
        answer_last_sync(lists);
    }

    /// Nothing was reported as refused, and nothing is about to be.
    void expect_no_refusal() const
    {
        CPPUNIT_ASSERT(!has_event(core::event_code::run_refused));
        for (auto const& [report, done] : m_reports)
        {
            CPPUNIT_ASSERT(report.refused.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_certainty_test);

} // namespace turmericswitch::workflow
