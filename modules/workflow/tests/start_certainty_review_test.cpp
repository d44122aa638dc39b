#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Starts that are reported as refused although a call of this sidecar that
/// could begin the run is open, unanswered or still to come.
class start_certainty_review_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(start_certainty_review_test);
    CPPUNIT_TEST(start_without_an_answer_beside_a_failed_stop_is_remembered);
    CPPUNIT_TEST(start_that_is_open_beside_a_failed_stop_is_remembered);
    CPPUNIT_TEST(order_made_before_the_refusal_was_read_starts_nothing);
    CPPUNIT_TEST(stopping_run_in_an_unreadable_row_is_not_refused);
    CPPUNIT_TEST(begun_run_of_a_failed_stop_is_not_refused_by_one_call);
    CPPUNIT_TEST(ended_run_in_an_unreadable_last_row_is_not_refused);
    CPPUNIT_TEST(end_that_was_never_reported_is_not_acknowledged);
    CPPUNIT_TEST(call_after_a_refused_first_call_is_repeated_soon);
    CPPUNIT_TEST_SUITE_END();

public:
    // A leader withdraws a start whose call is open, the worker refuses the
    // stop, and the call gets no answer. The next leader orders the start
    // again. Guards against a refusal of that call that is taken for the run,
    // because the agent has forgotten the first call with the order to stop.
    void start_without_an_answer_beside_a_failed_stop_is_remembered()
    {
        start_up_with_list();
        order_start();
        fail_stop();
        answer(m_starts, start_outcome::unknown);
        change_leader();
        order_start_by_next_leader();
        refuse_open_starts();
        expect_no_refusal();
    }

    // The same while the first call is still open.
    void start_that_is_open_beside_a_failed_stop_is_remembered()
    {
        start_up_with_list();
        order_start();
        fail_stop();
        auto const open = m_starts.front();
        m_starts.clear();
        change_leader();
        order_start_by_next_leader();
        refuse_open_starts();
        expect_no_refusal();
        open.done(start_outcome::unknown);
        expect_no_refusal();
    }

    // The answer to a poll is overtaken by the grant that acknowledges the
    // refusal. Guards against a start of a run whose task the leader has placed
    // again: no tombstone rejects it.
    void order_made_before_the_refusal_was_read_starts_nothing()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
        core::runtime_grant grant;
        grant.fencing_token = 1;
        grant.lease_until = std::chrono::seconds(5);
        grant.acknowledged_refusals = {m_run};
        answer(m_reports, std::optional(grant));
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
    }

    // A stop takes time, and the row of the run can't be read in the list after
    // it. Guards against a task that is placed again beside its stopping run.
    void stopping_run_in_an_unreadable_row_is_not_refused()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        answer_last_sync(list_at(20, {}));
        answer(m_stops, true);
        grant(1);
        auto unreadable = list_at(30, {});
        unreadable.skipped = {{false, "malformed task name"}};
        answer_last_sync(unreadable);
        expect_no_refusal();
    }

    // No call stopped the run, and two lists lack it: its end was dropped
    // unseen. Guards against an agent that forgets the begin because it has
    // tried to stop the run, and takes the refusal of a start for the run.
    void begun_run_of_a_failed_stop_is_not_refused_by_one_call()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::started);
        fail_stop();
        change_leader();
        answer_last_sync(empty_list());
        grant(2);
        order_start_by_next_leader();
        refuse_open_starts();
        expect_no_refusal();
    }

    // The first call had no answer, and the run has ended when the second is
    // made. Guards against a task that is started again although its end is in
    // the row that can't be read: the last one leaves no gap in the numbers.
    void ended_run_in_an_unreadable_last_row_is_not_refused()
    {
        start_up();
        auto lists = list_at(10, {});
        lists.runs.ended = {{1, run_of("b", 0, 0), core::run_end::done, {}}};
        answer(m_syncs, std::optional(lists));
        grant(1);
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::already_ended);
        run_delayed();
        lists.clock = std::chrono::milliseconds(20);
        lists.skipped = {{true, "malformed task name"}};
        answer_last_sync(lists);
        expect_no_refusal();
    }

    // A list that shows the end is replaced before it is reported, and in the
    // next one the row can't be read. Guards against an end that is
    // acknowledged although the leader has not read it: the worker drops it,
    // and its task is started again.
    void end_that_was_never_reported_is_not_acknowledged()
    {
        start_up_with_list();
        m_agent->registered(profile("w1", 4000));
        auto lists = list_at(10, {});
        lists.runs.ended = {{1, run_of("b", 0, 0), core::run_end::done, {}},
                            {2, run_of("b", 0, 1), core::run_end::done, {}}};
        answer(m_syncs, std::optional(lists));
        grant(1);
        lists.runs.ended.erase(lists.runs.ended.begin());
        lists.skipped = {{true, "malformed task name"}};
        answer(m_syncs, std::optional(lists));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().runs->ended.size());
        core::runtime_grant acknowledging;
        acknowledging.fencing_token = 1;
        acknowledging.lease_until = std::chrono::seconds(5);
        acknowledging.acknowledged_ends = 2;
        answer(m_reports, std::optional(acknowledging));
        run_delayed();
        CPPUNIT_ASSERT(!m_syncs.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             m_syncs.back().call.acknowledged_ends);
    }

    // A sick worker has restarted and refuses the first sync call, and the next
    // one gets no answer. Guards against a second in which the worker executes
    // late starts of runs that were refused or placed again.
    void call_after_a_refused_first_call_is_repeated_soon()
    {
        start_up();
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        answer_last_sync(std::nullopt);
        CPPUNIT_ASSERT(m_syncs.empty());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_syncs.size());
    }

private:
    /// A list of the incarnation that runs nothing.
    static sync_result empty_list()
    {
        auto lists = list_at(20, {});
        lists.life = core::incarnation(1);
        return lists;
    }

    /// The leader orders a stop, and a sick worker refuses each call for it.
    void fail_stop()
    {
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.batch = 1;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        while (!m_stops.empty())
        {
            answer(m_stops, false);
        }
    }

    void refuse_open_starts()
    {
        while (!m_starts.empty())
        {
            answer(m_starts, start_outcome::refused);
        }
    }

    /// The next leader gets a list that lacks the run.
    void change_leader()
    {
        m_polls.clear();
        m_reports.clear();
        m_agent->leader_changed({});
        run_delayed();
        answer_last_sync(empty_list());
        grant(2);
    }

    void order_start_by_next_leader()
    {
        core::runtime_orders orders;
        orders.fencing_token = 2;
        orders.batch = 1;
        orders.starts = {{m_run.task.workflow, "payload", {{m_run, {}, {}}}}};
        answer(m_polls, std::optional(orders));
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

CPPUNIT_TEST_SUITE_REGISTRATION(start_certainty_review_test);

} // namespace turmericswitch::workflow
