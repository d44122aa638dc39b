#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Sync calls, reports and the change of the leader.
class worker_agent_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(worker_agent_test);
    CPPUNIT_TEST(first_sync_call_has_the_fencing_token);
    CPPUNIT_TEST(lease_of_a_silent_worker_is_not_extended);
    CPPUNIT_TEST(refusals_during_a_report_do_not_delay_the_next_sync);
    CPPUNIT_TEST(report_after_an_outage_has_a_current_clock);
    CPPUNIT_TEST(first_sync_of_an_incarnation_does_not_wait);
    CPPUNIT_TEST(failed_poll_triggers_a_report);
    CPPUNIT_TEST(new_leader_gets_a_list_made_after_its_election);
    CPPUNIT_TEST(new_leader_learns_of_a_silent_worker_at_once);
    CPPUNIT_TEST(answers_of_the_earlier_leader_are_dropped);
    CPPUNIT_TEST(leaving_during_a_report_is_reported_after_it);
    CPPUNIT_TEST(lost_and_regained_leader_are_each_logged_once);
    CPPUNIT_TEST(only_ends_in_the_grant_are_acknowledged);
    CPPUNIT_TEST(lost_report_of_a_silent_worker_is_repeated);
    CPPUNIT_TEST(recovery_of_a_silent_worker_is_noticed_without_a_wait);
    CPPUNIT_TEST(changed_capacity_is_reported_at_once);
    CPPUNIT_TEST(changed_capacity_of_a_silent_worker_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    // A worker rejects calls with a token below the highest it has seen, and a
    // restarted sidecar has none until its first grant.
    void first_sync_call_has_the_fencing_token()
    {
        m_agent->registered(profile("w1"));
        CPPUNIT_ASSERT(m_syncs.empty());
        CPPUNIT_ASSERT(!m_reports.front().call.runs);
        grant(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             m_syncs.front().call.fencing_token);
    }

    // A report without the mark would make the leader assume a lease that the
    // worker never got. The mark lets the leader place nothing there.
    void lease_of_a_silent_worker_is_not_extended()
    {
        start_up();
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT(last_report().silent);
        grant(1);
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT(m_reports.empty());
        run_delayed();
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(!last_report().silent);
    }

    // Guards against a leader that goes on placing tasks on a silent worker
    // because the one report of it was lost.
    void lost_report_of_a_silent_worker_is_repeated()
    {
        start_up();
        answer(m_syncs, std::optional<sync_result>());
        answer(m_reports, std::optional<core::runtime_grant>());
        CPPUNIT_ASSERT(m_reports.empty());
        run_delayed();
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT(last_report().silent);
    }

    // A sync call that waits for an end would leave the worker without tasks
    // for another second.
    void recovery_of_a_silent_worker_is_noticed_without_a_wait()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        answer(m_syncs, std::optional<sync_result>());
        grant(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
    }

    // After a network partition the worker refused starts because its lease had
    // expired. Each refusal triggered the next report without a sync call in
    // between, so the reported clock stood still and the lease was never
    // extended.
    void refusals_during_a_report_do_not_delay_the_next_sync()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        order_start();
        answer(m_starts, start_outcome::refused);
        grant(1);
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        sync_result current;
        current.clock = std::chrono::seconds(9);
        answer(m_syncs, std::optional(current));
        CPPUNIT_ASSERT(last_report().clock == current.clock);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // A report that is repeated after an outage must not have the clock from
    // before the outage.
    void report_after_an_outage_has_a_current_clock()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        answer(m_reports, std::optional<core::runtime_grant>());
        run_delayed();
        CPPUNIT_ASSERT(m_reports.empty());
        sync_result current;
        current.clock = std::chrono::seconds(9);
        answer(m_syncs, std::optional(current));
        CPPUNIT_ASSERT(last_report().clock == current.clock);
    }

    // The leader places nothing on a worker before it has reported its runs. If
    // the first sync call waited, each restart would delay placements.
    void first_sync_of_an_incarnation_does_not_wait()
    {
        start_up();
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        CPPUNIT_ASSERT(m_syncs.front().call.wait > core::duration{});
    }

    // A new leader knows no worker before its report, and without a trigger the
    // next report may be a second away.
    void failed_poll_triggers_a_report()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        answer(m_polls, std::optional<core::runtime_orders>());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
    }

    // Guards against decisions on a list that predates the election, and
    // against a report that waits for the sync call in progress.
    void new_leader_gets_a_list_made_after_its_election()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        m_agent->leader_changed(std::chrono::milliseconds(10));
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(m_reports.empty());
        run_delayed();
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        sync_result current;
        current.clock = std::chrono::seconds(9);
        answer(m_syncs, std::optional(current));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT(last_report().clock == current.clock);
    }

    void new_leader_learns_of_a_silent_worker_at_once()
    {
        start_up();
        answer(m_syncs, std::optional<sync_result>());
        grant(1);
        m_agent->leader_changed(core::duration{});
        run_delayed();
        CPPUNIT_ASSERT(last_report().silent);
    }

    // Guards against a retry pause, a grant or orders that belong to calls at
    // the earlier leader.
    void answers_of_the_earlier_leader_are_dropped()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        m_agent->leader_changed(core::duration{});
        grant(1, std::chrono::seconds(15));
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT(m_stops.empty() && m_polls.empty());
        run_delayed();
        CPPUNIT_ASSERT(m_syncs.front().call.lease_until <
                       core::duration(std::chrono::seconds(15)));
        answer(m_syncs, std::optional(sync_result{}));
        grant(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_polls.size());
    }

    // The worker leaves while a report is in flight. Without a further report
    // the leader would wait until the lease expires before it starts the
    // worker's tasks elsewhere.
    void leaving_during_a_report_is_reported_after_it()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        m_agent->registered(draining_profile(1));
        m_agent->unregistered(core::worker_id("w1"));
        grant(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT(last_report().left);
        grant(1);
        CPPUNIT_ASSERT(m_reports.empty());
    }

    // Guards against a log line for each failed report of an outage.
    void lost_and_regained_leader_are_each_logged_once()
    {
        start_up();
        m_events.clear();
        answer(m_syncs, std::optional(sync_result{}));
        for (int i = 0; i < 3; ++i)
        {
            answer(m_reports, std::optional<core::runtime_grant>());
            run_delayed();
            answer(m_syncs, std::optional(sync_result{}));
        }
        grant(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_events.size());
        CPPUNIT_ASSERT(m_events[0].code == core::event_code::control_lost);
        CPPUNIT_ASSERT(m_events[1].code == core::event_code::control_regained);
    }

    void only_ends_in_the_grant_are_acknowledged()
    {
        start_up();
        sync_result lists;
        lists.runs.ended = {{1, m_run, core::run_end::done, {}},
                            {2, run_of("b", 0, 0), core::run_end::done, {}}};
        answer(m_syncs, std::optional(lists));
        core::runtime_grant partial;
        partial.fencing_token = 1;
        partial.acknowledged_ends = 1;
        answer(m_reports, std::optional(partial));
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_syncs.front().call.acknowledged_ends);
    }

    // The leader starts tasks by the capacity that it knows. The change waited
    // for the next list of runs, up to a second.
    void changed_capacity_is_reported_at_once()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        CPPUNIT_ASSERT(m_reports.empty());
        m_agent->registered(profile("w1", 4000));
        CPPUNIT_ASSERT(last_report().profile == profile("w1", 4000));
        grant(1);
        auto moved = profile("w1", 4000);
        moved.labels = {"other"};
        m_agent->registered(moved);
        CPPUNIT_ASSERT(last_report().profile == moved);
        grant(1);
        // The time that a draining worker stays falls with each registration.
        moved.stays = std::chrono::seconds(3);
        m_agent->registered(moved);
        CPPUNIT_ASSERT(m_reports.empty());
    }

    // A change during a report, and one whose report is lost, waited for an
    // answer of the worker. A worker that does not answer may still carry out
    // late starts.
    void changed_capacity_of_a_silent_worker_is_reported()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        m_agent->registered(profile("w1", 4000));
        grant(1);
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT(last_report().profile == profile("w1", 4000));
        answer(m_reports, std::optional<core::runtime_grant>());
        run_delayed();
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT(last_report().profile == profile("w1", 4000));
        grant(1);
        run_delayed();
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT(m_reports.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_test);

} // namespace turmericswitch::workflow
