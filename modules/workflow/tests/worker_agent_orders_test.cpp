#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Starts and stops that the leader orders.
class worker_agent_orders_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(worker_agent_orders_test);
    CPPUNIT_TEST(refused_start_is_reported_at_once);
    CPPUNIT_TEST(unanswered_start_is_refused_only_after_a_stop);
    CPPUNIT_TEST(stopped_run_that_is_still_listed_is_not_refused);
    CPPUNIT_TEST(orders_of_a_deposed_leader_are_dropped);
    CPPUNIT_TEST(retried_start_keeps_the_deadline_of_its_order);
    CPPUNIT_TEST(start_events_identify_the_task);
    CPPUNIT_TEST(silent_worker_gets_no_starts);
    CPPUNIT_TEST(start_over_the_capacity_is_not_sent);
    CPPUNIT_TEST(unanswered_start_over_a_shrunk_capacity_is_not_repeated);
    CPPUNIT_TEST(repeated_order_over_the_capacity_stops_no_started_run);
    CPPUNIT_TEST(start_that_fits_again_is_sent);
    CPPUNIT_TEST(unanswered_start_is_not_repeated_to_a_silent_worker);
    CPPUNIT_TEST(refusal_after_unanswered_starts_and_stops_is_not_certain);
    CPPUNIT_TEST(run_missing_in_a_cut_list_is_not_refused);
    CPPUNIT_TEST(run_missing_in_the_last_list_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start that a restarted worker gets in its next
    // incarnation, and against calls to a worker that refuses connections.
    void silent_worker_gets_no_starts()
    {
        start_up();
        answer(m_syncs, std::optional<sync_result>());
        order_start();
        CPPUNIT_ASSERT(m_starts.empty());
        grant(1);
        run_delayed();
        answer(m_syncs, std::optional(sync_result{}));
        order_start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
    }

    void refused_start_is_reported_at_once()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // The worker may execute an unanswered start later, so the run must not be
    // reported as refused before a stop is confirmed.
    void unanswered_start_is_refused_only_after_a_stop()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_reports.empty());
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        CPPUNIT_ASSERT(last_report().refused.empty());
        m_syncs.clear();
        grant(1);
        answer(m_stops, true);
        // This sync call began before the stop, so its answer proves nothing.
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(m_reports.empty());
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // From a task's id an operator must be able to find the worker's answers.
    void start_events_identify_the_task()
    {
        start_up_with_list();
        order_start();
        m_events.clear();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::started);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_events.size());
        CPPUNIT_ASSERT(m_events[0].code == core::event_code::start_unanswered);
        CPPUNIT_ASSERT(m_events[1].code == core::event_code::run_started);
        for (auto const& each : m_events)
        {
            CPPUNIT_ASSERT(each.fields[0].name == "task");
            CPPUNIT_ASSERT(each.fields[2] == core::text_field("worker", "w1"));
        }
    }

    void stopped_run_that_is_still_listed_is_not_refused()
    {
        start_up();
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        answer(m_stops, true);
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        sync_result lists;
        core::running_task row;
        row.run = m_run;
        lists.runs.running = {row};
        answer(m_syncs, std::optional(lists));
        CPPUNIT_ASSERT(last_report().refused.empty());
        grant(1);
        lists = {};
        lists.runs.ended = {{1, m_run, core::run_end::stopped, {}}};
        answer(m_syncs, std::optional(lists));
        CPPUNIT_ASSERT(last_report().refused.empty());
    }

    void orders_of_a_deposed_leader_are_dropped()
    {
        start_up(9);
        core::runtime_orders orders;
        orders.fencing_token = 8;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // Guards against two runs of a task at once. A sidecar that was paused
    // between two calls for a start may get a new lease before the second
    // call, although the leader has given up the run meanwhile and placed the
    // task elsewhere. The worker rejects the call by the deadline of the order.
    void retried_start_keeps_the_deadline_of_its_order()
    {
        start_up_with_list();
        order_start();
        auto const deadline = m_starts.front().call.start.lease_until;
        CPPUNIT_ASSERT(deadline == std::chrono::seconds(5));
        answer(m_syncs, std::optional(sync_result{}));
        grant(2, std::chrono::seconds(15));
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        CPPUNIT_ASSERT(m_starts.front().call.start.lease_until == deadline);
    }

    /// Orders a start that the worker rejects because the run has ended there.
    void order_ended_start()
    {
        start_up_with_list();
        order_start();
        answer(m_starts, start_outcome::already_ended);
        // This sync call began before the start.
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(last_report().refused.empty());
        grant(1);
    }

    /// Answers a sync call with a list of `count` other runs that have ended.
    void answer_with_ends(std::uint32_t count, bool may_have_more)
    {
        sync_result lists;
        for (std::uint32_t i = 1; i <= count; ++i)
        {
            lists.runs.ended.push_back(
                {i, run_of("b", 0, i), core::run_end::done, {}});
        }
        lists.runs.may_have_more_ends = may_have_more;
        answer(m_syncs, std::optional(lists));
    }

    // Guards against tasks that run twice: after a restart of the sidecar the
    // worker has more ends than it lists at a time, and the leader repeats the
    // start of a run that has ended but isn't listed yet.
    void run_missing_in_a_cut_list_is_not_refused()
    {
        order_ended_start();
        for (int page = 0; page < 3; ++page)
        {
            answer_with_ends(500, true);
            CPPUNIT_ASSERT(last_report().refused.empty());
            CPPUNIT_ASSERT(last_report().runs->may_have_more_ends);
            core::runtime_grant grant;
            grant.fencing_token = 1;
            grant.acknowledged_ends = 500;
            answer(m_reports, std::optional(grant));
            CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
            // A call without an answer, and a repeated list, prove nothing.
            answer(m_syncs, std::optional<sync_result>());
            if (!m_reports.empty())
            {
                CPPUNIT_ASSERT(last_report().refused.empty());
                answer(m_reports, std::optional(grant));
            }
            run_delayed();
        }
        sync_result last;
        last.runs.ended = {{1501, m_run, core::run_end::done, {}}};
        answer(m_syncs, std::optional(last));
        CPPUNIT_ASSERT(last_report().refused.empty());
    }

    // Guards against a run that is never found to have no effect, so that its
    // task waits for ever, once all ends were listed.
    void run_missing_in_the_last_list_is_refused()
    {
        order_ended_start();
        answer_with_ends(500, true);
        CPPUNIT_ASSERT(last_report().refused.empty());
        core::runtime_grant grant;
        grant.fencing_token = 1;
        grant.acknowledged_ends = 500;
        answer(m_reports, std::optional(grant));
        answer_with_ends(0, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
        CPPUNIT_ASSERT(last_report().refused.front() == m_run);
    }

    // The order was made before the leader knew of the shrunk capacity: it was
    // delayed, or comes from a leader that has had no report since.
    void start_over_the_capacity_is_not_sent()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        order_start(9000);
        CPPUNIT_ASSERT(m_starts.empty());
        // An earlier sidecar may have sent the start, so only a tombstone makes
        // certain that it does not run.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        CPPUNIT_ASSERT(has_event(core::event_code::start_dropped));
        answer(m_stops, true);
        // This sync call began before the stop.
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(m_reports.empty());
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    void unanswered_start_over_a_shrunk_capacity_is_not_repeated()
    {
        start_up_with_list();
        order_start(8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        m_agent->registered(profile("w1", 4000));
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT(m_starts.empty());
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
    }

    // The leader repeats a start until a report lists the run. Work that runs
    // is not stopped because the capacity has shrunk under it.
    void repeated_order_over_the_capacity_stops_no_started_run()
    {
        start_up_with_list();
        order_start(8000);
        answer(m_starts, start_outcome::started);
        m_agent->registered(profile("w1", 4000));
        order_start(8000);
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT(m_stops.empty());
        // The list of a sync call that was begun before the start lacks it.
        answer(m_syncs, std::optional(sync_result{}));
        order_start(8000);
        CPPUNIT_ASSERT(m_stops.empty());
        grant(1);
        sync_result lists;
        lists.runs.running = {{m_run, {}, 0, 0}};
        answer(m_syncs, std::optional(lists));
        order_start(8000);
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT(m_stops.empty());
    }

    void start_that_fits_again_is_sent()
    {
        start_up_with_list();
        m_agent->registered(profile("w1", 4000));
        m_agent->registered(profile("w1", 8000));
        order_start(8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // Guards against a repeated start that reaches the next incarnation of a
    // worker that has just ended, and against a run that is reported as refused
    // although its unanswered start may still be executed.
    void unanswered_start_is_not_repeated_to_a_silent_worker()
    {
        start_up_with_list();
        order_start();
        answer(m_syncs, std::optional<sync_result>());
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT(m_starts.empty());
        grant(1);
        run_delayed();
        answer(m_syncs, std::optional(sync_result{}));
        order_start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        answer(m_starts, start_outcome::refused);
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT(last_report().refused.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
    }

    // All starts and stops of the run stay unanswered, and the leader repeats
    // the order. Guards against a refusal of the repeated start that is
    // reported as certain, although the worker may still execute an earlier
    // one.
    void refusal_after_unanswered_starts_and_stops_is_not_certain()
    {
        start_up_with_list();
        order_start();
        while (!m_starts.empty())
        {
            answer(m_starts, start_outcome::unknown);
        }
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT(!m_stops.empty());
        while (!m_stops.empty())
        {
            answer(m_stops, false);
        }
        order_start();
        answer(m_starts, start_outcome::refused);
        answer_last_sync(sync_result{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        CPPUNIT_ASSERT(last_report().refused.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_orders_test);

} // namespace turmericswitch::workflow
