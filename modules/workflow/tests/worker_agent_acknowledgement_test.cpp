#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Acknowledgements of ends, and ends that a worker drops unseen.
class worker_agent_acknowledgement_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(worker_agent_acknowledgement_test);
    CPPUNIT_TEST(acknowledgement_is_not_repeated_after_a_lost_call);
    CPPUNIT_TEST(unregistered_incarnation_gets_no_acknowledgement);
    CPPUNIT_TEST(waiting_call_acknowledges_nothing);
    CPPUNIT_TEST(new_leader_gets_a_report_beside_an_acknowledgement);
    CPPUNIT_TEST(begun_run_that_is_missing_is_not_refused);
    CPPUNIT_TEST(ended_start_without_a_stop_is_not_refused);
    CPPUNIT_TEST(missing_run_proves_nothing_in_an_unreadable_list);
    CPPUNIT_TEST(run_that_a_draining_worker_lacks_has_not_ended_unseen);
    CPPUNIT_TEST(stopped_run_that_is_missing_is_refused);
    CPPUNIT_TEST(ends_after_an_unreadable_one_are_not_acknowledged);
    CPPUNIT_TEST(row_of_another_writer_holds_up_no_acknowledgement);
    CPPUNIT_TEST(lasting_row_of_another_writer_holds_up_no_first_worker);
    CPPUNIT_TEST(lasting_row_hides_no_end_for_good);
    CPPUNIT_TEST(begun_run_that_has_ended_beside_an_odd_row_is_not_refused);
    CPPUNIT_TEST(late_answer_of_the_next_incarnation_is_noticed);
    CPPUNIT_TEST(acknowledgement_without_effect_causes_no_busy_loop);
    CPPUNIT_TEST(late_answer_to_a_start_makes_no_listed_end_unseen);
    CPPUNIT_TEST(withheld_end_is_reported_at_the_regular_interval);
    CPPUNIT_TEST(end_behind_a_withheld_one_is_reported_at_once);
    CPPUNIT_TEST(withheld_end_is_not_acknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // A worker restarts under its id, and both incarnations number their ends
    // from 1. Guards against an acknowledgement that is repeated until the next
    // incarnation registers, which drops its ends before anybody has seen them,
    // so that their tasks are started again.
    void acknowledgement_is_not_repeated_after_a_lost_call()
    {
        acknowledge_first_end();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
        answer(m_syncs, std::optional<sync_result>());
        run_delayed();
        expect_no_effects();
        // It goes on once the incarnation has answered.
        answer_list(list_with_end());
        grant(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
        CPPUNIT_ASSERT(m_syncs.front().call.lease_until.has_value());
    }

    // The same, with a call that the next incarnation answers before it has
    // registered.
    void unregistered_incarnation_gets_no_acknowledgement()
    {
        acknowledge_first_end();
        auto of_successor = list_of(2, {});
        answer_list(of_successor);
        CPPUNIT_ASSERT(has_event(core::event_code::worker_replaced));
        run_delayed();
        expect_no_effects();
        m_agent->registered(profile("w1", 8000, 2));
        expect_no_effects();
    }

    // A call that waits for an end is open when its worker ends, and the next
    // incarnation may execute a call without an answer.
    void waiting_call_acknowledges_nothing()
    {
        acknowledge_first_end();
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        auto const reports = m_reports.size();
        answer_empty_list();
        // The answer has no news, so it is not worth a report.
        CPPUNIT_ASSERT_EQUAL(reports, m_reports.size());
        CPPUNIT_ASSERT(m_syncs.front().call.wait > core::duration{});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends());
        CPPUNIT_ASSERT(m_syncs.front().call.lease_until.has_value());
    }

    // Guards against a new leader that learns of the worker a second late,
    // because the first answer after the election had no news.
    void new_leader_gets_a_report_beside_an_acknowledgement()
    {
        acknowledge_first_end();
        m_agent->leader_changed({});
        m_syncs.clear();
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
        answer_empty_list();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
    }

    // Guards against the conclusion that a run never had an effect because the
    // worker doesn't list it, although it has begun: its end was dropped.
    void begun_run_that_is_missing_is_not_refused()
    {
        begin_run();
        // This call began before the start was answered.
        answer_empty_list();
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        grant(1);
        // A worker that shuts down may answer once more when its runs are gone.
        answer_empty_list();
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        grant(1);
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        answer_empty_list();
        expect_unseen_end();
        // The leader that repeats the order doesn't know yet.
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
        core::runtime_grant committed;
        committed.fencing_token = 1;
        committed.acknowledged_refusals = {m_run};
        answer(m_reports, std::optional(committed));
        answer_empty_list();
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
    }

    // The start has no answer and the run ends before the next list. The
    // repeated one says that it has ended, and no stop left a tombstone.
    void ended_start_without_a_stop_is_not_refused()
    {
        begin();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::already_ended);
        report_empty_list();
        answer_empty_list();
        expect_unseen_end();
    }

    // Guards against an end that is invented: the run may be in the row that
    // can't be read, or the worker may have restarted.
    void missing_run_proves_nothing_in_an_unreadable_list()
    {
        begin_run();
        report_empty_list();
        auto const unreadable = beside_odd_row(list_of(1, {}), false);
        answer_list(unreadable);
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        grant(1);
        auto anonymous = list_of(1, {});
        anonymous.life.reset();
        answer_list(anonymous);
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        grant(1);
        answer_list(list_of(1, {m_run}));
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        CPPUNIT_ASSERT(last_report().refused.empty());
    }

    // Its runs end before it does. Guards against runs that count as done
    // because a draining worker doesn't list them any more, and against one
    // that is listed again.
    void run_that_a_draining_worker_lacks_has_not_ended_unseen()
    {
        begin_run();
        report_empty_list();
        report_empty_list();
        answer_list(list_of(1, {m_run}));
        grant(1);
        m_agent->registered(draining_profile(1));
        for (int i = 0; i < 3; ++i)
        {
            grant(1);
            answer_empty_list();
            CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        }
    }

    // Guards against a stopped run that counts as done.
    void stopped_run_that_is_missing_is_refused()
    {
        begin_run();
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        answer(m_stops, true);
        // This sync call began before the stop.
        answer_empty_list();
        CPPUNIT_ASSERT(m_reports.empty());
        answer_empty_list();
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        CPPUNIT_ASSERT(last_report().refused == std::vector{m_run});
    }

    // Guards against an end that is acknowledged with the ones around it
    // although nobody could read it: the worker drops it, and its task is
    // started again.
    void ends_after_an_unreadable_one_are_not_acknowledged()
    {
        begin();
        auto lists = list_with_unread_end();
        answer_list(lists);
        CPPUNIT_ASSERT(last_report().runs->may_have_more_ends);
        grant_ends(3);
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
        CPPUNIT_ASSERT(!has_event(core::event_code::ends_dropped_unseen));
        lists.runs.ended[0] = {2, run_of("b", 0, 1), core::run_end::done, {}};
        lists.skipped.clear();
        answer_list(lists);
        CPPUNIT_ASSERT(!last_report().runs->may_have_more_ends);
        grant_ends(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, acknowledged_ends());
    }

    // The worker's own ends are numbered without gaps, so the row is not one of
    // them. Guards against ends that are never acknowledged beside it.
    void row_of_another_writer_holds_up_no_acknowledgement()
    {
        begin();
        auto lists = beside_odd_row(list_with_end(), true);
        answer_list(lists);
        CPPUNIT_ASSERT(!last_report().runs->may_have_more_ends);
        grant_ends(1);
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
    }

    // The sidecar has not seen the start of its first worker, so the odd row
    // may be its first end. Guards against a worker that gets no starts and no
    // acknowledgements as long as the row stays.
    void lasting_row_of_another_writer_holds_up_no_first_worker()
    {
        start_up();
        auto lists = beside_odd_row(list_of(1, {}), true);
        answer_list(lists);
        CPPUNIT_ASSERT(last_report().runs->may_have_more_ends);
        grant_ends(0);
        run_delayed();
        lists.clock += std::chrono::seconds(2);
        answer_list(lists);
        CPPUNIT_ASSERT(!last_report().runs->may_have_more_ends);
        grant_ends(0);
        run_delayed();
        lists.runs.ended = list_with_end().runs.ended;
        answer_list(lists);
        CPPUNIT_ASSERT(!last_report().runs->may_have_more_ends);
        grant_ends(1);
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
    }

    // Guards against a worker whose ends are never acknowledged again because
    // one of its own can't be read, and against that one's run being refused.
    void lasting_row_hides_no_end_for_good()
    {
        begin_run();
        auto lists = list_with_unread_end();
        answer_list(lists);
        CPPUNIT_ASSERT(last_report().runs->may_have_more_ends);
        grant_ends(3);
        run_delayed();
        lists.clock += std::chrono::seconds(2);
        answer_list(lists);
        CPPUNIT_ASSERT(!last_report().runs->may_have_more_ends);
        grant_ends(3);
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, acknowledged_ends());
        report_empty_list();
        answer_empty_list();
        expect_unseen_end();
    }

    // The worker rejects the repeated start because the run has ended, and no
    // stop was sent. Guards against a refused run, whose task is started again,
    // because another writer's row keeps the lists from being whole.
    void begun_run_that_has_ended_beside_an_odd_row_is_not_refused()
    {
        begin_run();
        auto odd = beside_odd_row(list_of(1, {}), false);
        answer_list(odd);
        grant(1);
        // The first list that could have the run lacks it.
        answer_list(odd);
        grant(1);
        order_start();
        answer(m_starts, start_outcome::already_ended);
        answer_list(odd);
        grant(1);
        // The row may be of the run for a second.
        odd.clock += std::chrono::seconds(2);
        answer_list(odd);
        expect_unseen_end();
    }

    // A call that was given up for a new leader is sent again by the HTTP
    // client when its worker restarts. Guards against effects on the connection
    // of that answer, which leads to the next incarnation.
    void late_answer_of_the_next_incarnation_is_noticed()
    {
        acknowledge_first_end();
        answer_empty_list();
        auto const given_up = m_syncs.front();
        m_syncs.clear();
        m_agent->leader_changed({});
        run_delayed();
        answer_list(list_with_end());
        given_up.done(list_of(2, {}));
        grant_ends(1);
        expect_no_effects();
    }

    // The HTTP client leaves the acknowledgement out of a call on a new
    // connection. Guards against calls and reports without a pause, because the
    // worker answers at once as long as it lists ends.
    void acknowledgement_without_effect_causes_no_busy_loop()
    {
        acknowledge_first_end();
        answer_list(list_with_end());
        grant_ends(1);
        CPPUNIT_ASSERT(m_syncs.empty());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
    }

    // The answer to a repeated start comes after the end was listed and
    // acknowledged. Guards against a report and a log line of an unseen end.
    void late_answer_to_a_start_makes_no_listed_end_unseen()
    {
        begin();
        order_start();
        answer(m_starts, start_outcome::unknown);
        auto lists = list_of(1, {});
        lists.runs.ended = {{1, m_run, core::run_end::done, {}}};
        answer_list(lists);
        grant_ends(1);
        answer_empty_list();
        answer(m_starts, start_outcome::already_ended);
        report_empty_list();
        answer_empty_list();
        CPPUNIT_ASSERT(last_report().ended_unseen.empty());
        CPPUNIT_ASSERT(last_report().refused.empty());
        CPPUNIT_ASSERT(!has_event(core::event_code::run_ended_unseen));
    }

    // The worker answers each call at once while it lists an end. Guards
    // against a report for each answer, and against a lease that gets no
    // reports.
    void withheld_end_is_reported_at_the_regular_interval()
    {
        withhold_first_end();
        answer_list(list_with_end_at(60));
        CPPUNIT_ASSERT(m_syncs.empty());
        poll_again();
        answer_list(list_with_end_at(1000));
        CPPUNIT_ASSERT(m_reports.empty());
        poll_again();
        answer_list(list_with_end_at(1010));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
    }

    // Guards against a run whose end the leader learns a second late.
    void end_behind_a_withheld_one_is_reported_at_once()
    {
        withhold_first_end();
        auto lists = list_with_end_at(60);
        lists.runs.ended.push_back(
            {2, run_of("b", 0, 1), core::run_end::done, {}});
        answer_list(std::move(lists));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
    }

    void withheld_end_is_not_acknowledged()
    {
        withhold_first_end();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends());
        answer_list(list_with_end_at(1010));
        grant_ends(1);
        poll_again();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends());
    }

private:
    static sync_result list_of(std::uint64_t life,
                               std::vector<core::task_run> const& runs)
    {
        auto result = list_at(10, runs);
        result.life = core::incarnation(life);
        return result;
    }

    static sync_result list_with_end()
    {
        auto result = list_of(1, {});
        result.runs.ended = {{1, run_of("b", 0, 0), core::run_end::done, {}}};
        return result;
    }

    /// @param is_end True if the row that can't be read is of the list of ended
    ///        runs.
    static sync_result beside_odd_row(sync_result lists, bool is_end)
    {
        lists.skipped = {{is_end, "malformed task name"}};
        return lists;
    }

    /// The second of three ends can't be read.
    static sync_result list_with_unread_end()
    {
        auto lists = list_of(1, {});
        lists.runs.ended = {{1, run_of("b", 0, 0), core::run_end::done, {}},
                            {3, run_of("b", 0, 2), core::run_end::done, {}}};
        return beside_odd_row(std::move(lists), true);
    }

    void answer_list(sync_result lists)
    {
        answer(m_syncs, std::optional(std::move(lists)));
    }

    /// Answers with empty lists of incarnation 1.
    void answer_empty_list()
    {
        answer_list(list_of(1, {}));
    }

    /// Answers with empty lists, and answers the report of them.
    void report_empty_list()
    {
        answer_empty_list();
        grant(1);
    }

    std::uint64_t acknowledged_ends() const
    {
        CPPUNIT_ASSERT(!m_syncs.empty());
        return m_syncs.front().call.acknowledged_ends;
    }

    void grant_ends(std::uint64_t number, std::uint64_t committed = 0)
    {
        core::runtime_grant grant;
        grant.fencing_token = 1;
        grant.lease_until = std::chrono::seconds(5);
        grant.acknowledged_ends = number;
        grant.committed_ends = committed;
        answer(m_reports, std::optional(grant));
    }

    /// The leader has committed the first end and withholds its
    /// acknowledgement.
    void withhold_first_end()
    {
        start_up();
        answer_list(list_with_end());
        grant_ends(0, 1);
        poll_again();
    }

    /// Lets the pause between two sync calls pass.
    void poll_again()
    {
        run_delayed_for(std::chrono::milliseconds(50));
    }

    static sync_result list_with_end_at(std::int64_t clock_ms)
    {
        auto result = list_with_end();
        result.clock = std::chrono::milliseconds(clock_ms);
        return result;
    }

    /// Makes the agent send an acknowledgement of the first end, to incarnation
    /// 1 of the worker.
    void acknowledge_first_end()
    {
        start_up();
        answer_list(list_with_end());
        grant_ends(1);
    }

    /// Incarnation 1 of the worker, which the agent knows from its start and
    /// whose first list was reported.
    void begin()
    {
        m_agent->registered(profile("w1", 8000, 0));
        m_agent->registered(profile("w1", 8000, 1));
        m_reports.pop_front();
        grant(1);
        report_empty_list();
    }

    /// The same, and the worker has begun the run.
    void begin_run()
    {
        begin();
        order_start();
        answer(m_starts, start_outcome::started);
    }

    void expect_no_effects() const
    {
        CPPUNIT_ASSERT(!m_syncs.empty());
        for (auto const& [call, done] : m_syncs)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, call.acknowledged_ends);
            CPPUNIT_ASSERT(!call.lease_until);
        }
    }

    void expect_unseen_end() const
    {
        CPPUNIT_ASSERT(last_report().refused.empty());
        CPPUNIT_ASSERT(last_report().ended_unseen == std::vector{m_run});
        CPPUNIT_ASSERT(has_event(core::event_code::run_ended_unseen));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_acknowledgement_test);

} // namespace turmericswitch::workflow
