#include "workflow/agent/fencing_token.hpp"
#include "workflow/agent/worker_agent.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>

namespace turmericswitch::workflow
{

using namespace testing;

/// Each call of the agent is queued until the test answers it.
class worker_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_agent_test);
    CPPUNIT_TEST(first_sync_call_has_the_fencing_token);
    CPPUNIT_TEST(lease_of_a_silent_worker_is_not_extended);
    CPPUNIT_TEST(refused_start_is_reported_at_once);
    CPPUNIT_TEST(unanswered_start_is_refused_only_after_a_stop);
    CPPUNIT_TEST(stopped_run_that_is_still_listed_is_not_refused);
    CPPUNIT_TEST(orders_of_a_deposed_leader_are_dropped);
    CPPUNIT_TEST(retried_start_keeps_the_deadline_of_its_order);
    CPPUNIT_TEST(registration_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(refusals_during_a_report_do_not_delay_the_next_sync);
    CPPUNIT_TEST(report_after_an_outage_has_a_current_clock);
    CPPUNIT_TEST(first_sync_of_an_incarnation_does_not_wait);
    CPPUNIT_TEST(failed_poll_triggers_a_report);
    CPPUNIT_TEST(new_leader_gets_a_list_made_after_its_election);
    CPPUNIT_TEST(new_leader_learns_of_a_silent_worker_at_once);
    CPPUNIT_TEST(answers_of_the_earlier_leader_are_dropped);
    CPPUNIT_TEST(leaving_during_a_report_is_reported_after_it);
    CPPUNIT_TEST(lost_and_regained_leader_are_each_logged_once);
    CPPUNIT_TEST(start_events_identify_the_task);
    CPPUNIT_TEST(only_ends_in_the_grant_are_acknowledged);
    CPPUNIT_TEST(silent_worker_gets_no_starts);
    CPPUNIT_TEST(lost_report_of_a_silent_worker_is_repeated);
    CPPUNIT_TEST(recovery_of_a_silent_worker_is_noticed_without_a_wait);
    CPPUNIT_TEST(changed_capacity_is_reported_at_once);
    CPPUNIT_TEST(changed_capacity_of_a_silent_worker_is_reported);
    CPPUNIT_TEST(overtaken_registration_is_ignored);
    CPPUNIT_TEST(start_over_the_capacity_is_not_sent);
    CPPUNIT_TEST(unanswered_start_over_a_shrunk_capacity_is_not_repeated);
    CPPUNIT_TEST(repeated_order_over_the_capacity_stops_no_started_run);
    CPPUNIT_TEST(start_that_fits_again_is_sent);
    CPPUNIT_TEST(crash_is_reported_until_it_is_acknowledged);
    CPPUNIT_TEST(end_with_notice_is_not_reported_as_a_crash);
    CPPUNIT_TEST(next_incarnation_is_fenced_before_a_leader_answers);
    CPPUNIT_TEST(first_list_of_the_next_incarnation_is_reported_at_once);
    CPPUNIT_TEST(unanswered_start_is_not_repeated_to_a_silent_worker);
    CPPUNIT_TEST(incarnation_that_began_after_the_clock_was_set_back_is_used);
    CPPUNIT_TEST(refusal_after_unanswered_starts_and_stops_is_not_certain);
    CPPUNIT_TEST(late_notice_of_the_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(other_worker_that_does_not_answer_is_not_believed);
    CPPUNIT_TEST(other_worker_takes_over_when_it_answers);
    CPPUNIT_TEST(answer_of_another_incarnation_confirms_nothing);
    CPPUNIT_TEST(registration_without_its_incarnation_is_ignored);
    CPPUNIT_TEST(unreadable_row_is_logged_once_per_incarnation);
    CPPUNIT_TEST(unreadable_end_causes_no_busy_loop);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_starts.clear();
        m_stops.clear();
        m_syncs.clear();
        m_reports.clear();
        m_polls.clear();
        m_events.clear();
        agent_hooks hooks;
        hooks.on_event = [this](core::event const& what)
        { m_events.push_back(what); };
        hooks.after = [this](core::duration, std::function<void()> run)
        { m_delayed.push_back(std::move(run)); };
        hooks.runtime.start = [this](auto call, auto done) {
            m_starts.push_back({call, done});
        };
        hooks.runtime.stop = [this](auto call, auto done) {
            m_stops.push_back({call, done});
        };
        hooks.runtime.pace = [](auto, auto done) { done(true); };
        hooks.runtime.sync = [this](auto call, auto done) {
            m_syncs.push_back({call, done});
        };
        hooks.leader.report = [this](auto report, auto done) {
            m_reports.push_back({report, done});
        };
        hooks.leader.poll_orders = [this](auto request, auto done) {
            m_polls.push_back({request, done});
        };
        m_agent = std::make_unique<worker_agent>(
            agent_options{core::instance_id("host"), core::incarnation(7)},
            std::move(hooks));
    }

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
        start_up();
        order_start();
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // The worker may execute an unanswered start later, so the run must not be
    // reported as refused before a stop is confirmed.
    void unanswered_start_is_refused_only_after_a_stop()
    {
        start_up();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        answer(m_stops, true);
        // This sync call began before the stop, so its answer proves nothing.
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(last_report().refused.empty());
        grant(1);
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
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

    // From a task's id an operator must be able to find the worker's answers.
    void start_events_identify_the_task()
    {
        start_up();
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
        start_up();
        order_start();
        auto const deadline = m_starts.front().call.start.lease_until;
        CPPUNIT_ASSERT(deadline == std::chrono::seconds(5));
        answer(m_syncs, std::optional(sync_result{}));
        grant(2, std::chrono::seconds(15));
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        CPPUNIT_ASSERT(m_starts.front().call.start.lease_until == deadline);
    }

    // A delayed registration can arrive after the worker has restarted.
    void registration_of_an_earlier_incarnation_is_ignored()
    {
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 1)));
        CPPUNIT_ASSERT(m_agent->profile()->life == core::incarnation(2));
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

    // A delayed registration brought an earlier, larger capacity back.
    void overtaken_registration_is_ignored()
    {
        m_agent->registered(profile("w1", 8000), 4);
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 4000), 6));
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000), 5));
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1", 4000));
        // The numbers start anew in each life.
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 2), 1));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 4000, 2), 2));
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1", 4000, 2));
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
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    void unanswered_start_over_a_shrunk_capacity_is_not_repeated()
    {
        start_up();
        order_start(8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        m_agent->registered(profile("w1", 4000));
        answer(m_starts, start_outcome::unknown);
        CPPUNIT_ASSERT(m_starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
    }

    // The leader repeats a start until a report lists the run. Work that runs
    // is not stopped because the capacity has shrunk under it.
    void repeated_order_over_the_capacity_stops_no_started_run()
    {
        start_up();
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
        start_up();
        m_agent->registered(profile("w1", 4000));
        m_agent->registered(profile("w1", 8000));
        order_start(8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // The report of a crash may find no leader, or one that loses its place
    // before the commit. Guards against a crash that is not counted then.
    void crash_is_reported_until_it_is_acknowledged()
    {
        start_up();
        auto const later = run_of("b", 0, 0);
        answer(m_syncs, std::optional(list_at(1000, {m_run})));
        grant(1);
        answer(m_syncs, std::optional(list_at(1500, {m_run, later})));
        grant(1);
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        core::worker_incarnation const ended{core::worker_id("w1"),
                                             core::incarnation(1)};
        std::vector<core::crashed_incarnation> const expected{{ended, {m_run}}};
        CPPUNIT_ASSERT(last_report().crashed == expected);
        answer(m_reports, std::optional<core::runtime_grant>());
        run_delayed();
        CPPUNIT_ASSERT(last_report().crashed == expected);
        core::runtime_grant acknowledged;
        acknowledged.fencing_token = 2;
        acknowledged.acknowledged_crashes = {ended};
        answer(m_reports, std::optional(acknowledged));
        answer(m_syncs, std::optional(list_at(2000, {})));
        CPPUNIT_ASSERT(last_report().crashed.empty());
    }

    // Planned restarts would fail jobs.
    void end_with_notice_is_not_reported_as_a_crash()
    {
        start_up();
        m_agent->registered(draining_profile(1));
        m_agent->unregistered(core::worker_id("w1"));
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(last_report().crashed.empty());
        m_agent->registered(draining_profile(2));
        m_agent->registered(profile("w1", 8000, 3));
        CPPUNIT_ASSERT(last_report().crashed.empty());
    }

    // A worker that has restarted under its id has seen no token and would
    // execute calls that were meant for its earlier incarnation. Guards against
    // such a call that is executed after the leader has read the first list.
    void next_incarnation_is_fenced_before_a_leader_answers()
    {
        start_up(fencing_token(core::term(3), 1));
        auto const earlier = m_syncs.front().call.fencing_token;
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        auto const own = m_syncs.front().call.fencing_token;
        CPPUNIT_ASSERT(own > earlier);
        CPPUNIT_ASSERT(!m_syncs.front().call.lease_until);
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        CPPUNIT_ASSERT(own < fencing_token(core::term(3), 2));
    }

    // The leader places the tasks of the earlier incarnation again once it has
    // the list. Guards against a list that waits for the grant of the report
    // without one.
    void first_list_of_the_next_incarnation_is_reported_at_once()
    {
        start_up();
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(!last_report().runs);
        answer(m_syncs, std::optional(list_at(10, {m_run})));
        CPPUNIT_ASSERT(last_report().runs.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_reports.size());
        // The grant for the first of the two reports is dropped.
        grant(3);
        CPPUNIT_ASSERT(m_polls.size() == 1);
        CPPUNIT_ASSERT(has_event(core::event_code::late_start_executed));
    }

    // Guards against a repeated start that reaches the next incarnation of a
    // worker that has just ended, and against a run that is reported as refused
    // although its unanswered start may still be executed.
    void unanswered_start_is_not_repeated_to_a_silent_worker()
    {
        start_up();
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
        CPPUNIT_ASSERT(last_report().refused.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
    }

    // An incarnation is numbered by the wall time of its start. Guards against
    // a worker that is ignored for good because its clock was set back before
    // it restarted.
    void incarnation_that_began_after_the_clock_was_set_back_is_used()
    {
        m_agent->registered(profile("w1", 8000, 5));
        grant(1);
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 3)));
        auto answered = list_at(10, {});
        answered.life = core::incarnation(3);
        answer(m_syncs, std::optional(answered));
        grant(1);
        m_syncs.clear();
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 2)));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 3)));
        CPPUNIT_ASSERT(last_report().profile.life > core::incarnation(5));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 3)));
        answer(m_syncs, std::optional(answered));
        CPPUNIT_ASSERT(last_report().runs.has_value());
        CPPUNIT_ASSERT(!last_report().silent);
        // A delayed registration of the incarnation before.
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 2)));
    }

    // All starts and stops of the run stay unanswered, and the leader repeats
    // the order. Guards against a refusal of the repeated start that is
    // reported as certain, although the worker may still execute an earlier
    // one.
    void refusal_after_unanswered_starts_and_stops_is_not_certain()
    {
        start_up();
        order_start();
        while (!m_starts.empty())
        {
            answer(m_starts, start_outcome::unknown);
        }
        while (!m_stops.empty())
        {
            answer(m_stops, false);
        }
        order_start();
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(last_report().refused.empty());
    }

    // The notice that a worker ends names only its id. Guards against one that
    // is handled after the next incarnation has registered, and makes the
    // worker unusable until its next restart.
    void late_notice_of_the_earlier_incarnation_is_ignored()
    {
        m_agent->registered(draining_profile(1));
        grant(1);
        m_polls.clear();
        m_agent->registered(profile("w1", 8000, 2));
        m_agent->unregistered(core::worker_id("w1"));
        grant(2);
        CPPUNIT_ASSERT(m_reports.empty() || !last_report().left);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_polls.size());
    }

    // An entry of another writer may name any id. Guards against one that ends
    // the incarnation in use, after which the own worker got no work any more.
    void other_worker_that_does_not_answer_is_not_believed()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(!m_agent->registered(profile("other", 8000, 2)));
            CPPUNIT_ASSERT(m_syncs.back().call.worker ==
                           core::worker_id("other"));
            CPPUNIT_ASSERT(!m_syncs.back().call.lease_until);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                                 m_syncs.back().call.acknowledged_ends);
            answer_last_sync(std::nullopt);
        }
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(1, count_of(core::event_code::worker_unconfirmed));
        order_start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(!last_report().silent);
    }

    // A worker may start again under a new id at the same address. Guards
    // against one that waits for the silence of the earlier incarnation, and
    // against one that is ignored because its clock was set back.
    void other_worker_takes_over_when_it_answers()
    {
        for (std::uint64_t const life : {2, 1, 9})
        {
            setUp();
            m_agent->registered(profile("w1", 8000, 5));
            grant(1);
            answer(m_syncs, std::optional(sync_result{}));
            grant(1);
            m_agent->registered(profile("w2", 8000, life), 3);
            m_agent->registered(profile("w2", 4000, life), 4);
            auto confirmed = list_at(10, {});
            confirmed.life = core::incarnation(life);
            answer_last_sync(confirmed);
            CPPUNIT_ASSERT(m_agent->profile()->worker == core::worker_id("w2"));
            // The later of two registrations that waited is in force.
            CPPUNIT_ASSERT(m_agent->profile()->capacity.cpu ==
                           core::millicores(4000));
            CPPUNIT_ASSERT(last_report().profile == *m_agent->profile());
            CPPUNIT_ASSERT(m_syncs.back().call.worker == core::worker_id("w2"));
            CPPUNIT_ASSERT(m_syncs.back().call.fencing_token > 1);
            CPPUNIT_ASSERT(!m_agent->registered(profile("w2", 8000, life), 3));
        }
    }

    // The worker answers under the id with another start time than the entry
    // has, so the entry is not of the worker that runs.
    void answer_of_another_incarnation_confirms_nothing()
    {
        start_up();
        m_agent->registered(profile("w2", 8000, 5));
        auto other = list_at(10, {});
        other.life = core::incarnation(6);
        answer_last_sync(other);
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
    }

    // A worker states its start time always or never.
    void registration_without_its_incarnation_is_ignored()
    {
        start_up();
        auto const syncs = m_syncs.size();
        for (auto const* const worker : {"w1", "other"})
        {
            CPPUNIT_ASSERT(!m_agent->registered(profile(worker, 8000, 0)));
        }
        CPPUNIT_ASSERT_EQUAL(syncs, m_syncs.size());
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
    }

    // An odd row stays in the list. Guards against a log line for each sync
    // call.
    void unreadable_row_is_logged_once_per_incarnation()
    {
        start_up();
        sync_result odd;
        odd.skipped = {{false, "malformed task name"}};
        for (int i = 0; i < 3; ++i)
        {
            answer(m_syncs, std::optional(odd));
            grant(1);
        }
        CPPUNIT_ASSERT_EQUAL(1, count_of(core::event_code::run_row_skipped));
        odd.skipped.push_back({true, "malformed task name"});
        answer(m_syncs, std::optional(odd));
        grant(1);
        CPPUNIT_ASSERT_EQUAL(2, count_of(core::event_code::run_row_skipped));
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        answer(m_syncs, std::optional(odd));
        CPPUNIT_ASSERT_EQUAL(4, count_of(core::event_code::run_row_skipped));
    }

    // A worker answers a sync call at once while its list of ended runs is not
    // empty, and an end that can't be read is never acknowledged.
    void unreadable_end_causes_no_busy_loop()
    {
        start_up();
        sync_result odd;
        odd.skipped = {{true, "malformed task name"}};
        answer(m_syncs, std::optional(odd));
        grant(1);
        CPPUNIT_ASSERT(m_syncs.empty());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
    }

private:
    static core::worker_profile draining_profile(std::uint64_t life)
    {
        auto result = profile("w1", 8000, life);
        result.draining = true;
        return result;
    }

    static sync_result list_at(std::int64_t clock_ms,
                               std::vector<core::task_run> const& runs)
    {
        sync_result result;
        result.clock = std::chrono::milliseconds(clock_ms);
        for (auto const& run : runs)
        {
            result.runs.running.push_back({run, {}, 0, 0});
        }
        return result;
    }

    template <typename Call, typename Result>
    struct pending_call
    {
        Call call;
        std::function<void(Result)> done;
    };

    template <typename Call, typename Result>
    using pending_calls = std::deque<pending_call<Call, Result>>;

    template <typename List, typename Result>
    static void answer(List& list, Result result)
    {
        CPPUNIT_ASSERT(!list.empty());
        auto const one = std::move(list.front());
        list.pop_front();
        one.done(std::move(result));
    }

    /// Answers the sync call that was begun last.
    void answer_last_sync(std::optional<sync_result> result)
    {
        CPPUNIT_ASSERT(!m_syncs.empty());
        auto const last = std::move(m_syncs.back());
        m_syncs.pop_back();
        last.done(std::move(result));
    }

    void grant(std::uint64_t token,
               core::duration lease_until = std::chrono::seconds(5))
    {
        core::runtime_grant grant;
        grant.fencing_token = token;
        grant.lease_until = lease_until;
        answer(m_reports, std::optional(grant));
    }

    void start_up(std::uint64_t token = 1)
    {
        m_agent->registered(profile("w1"));
        grant(token);
    }

    /// @param reserved CPU that all runs on the worker reserve; none is how
    ///        orders of an earlier release are read.
    void order_start(std::int64_t reserved = 0)
    {
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.batch = 1;
        orders.reserved.cpu = core::millicores(reserved);
        orders.starts = {{m_run.task.workflow, "payload", {{m_run, {}, {}}}}};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_polls.front().call.received_batch);
    }

    bool has_event(core::event_code code) const
    {
        return std::any_of(m_events.begin(),
                           m_events.end(),
                           [code](core::event const& each)
                           { return each.code == code; });
    }

    int count_of(core::event_code code) const
    {
        return static_cast<int>(std::count_if(m_events.begin(),
                                              m_events.end(),
                                              [code](core::event const& each)
                                              { return each.code == code; }));
    }

    core::runtime_report const& last_report() const
    {
        CPPUNIT_ASSERT(!m_reports.empty());
        return m_reports.back().call;
    }

    void run_delayed()
    {
        for (auto const& each : std::exchange(m_delayed, {}))
        {
            each();
        }
    }

    core::task_run m_run = run_of("a", 0, 0);
    pending_calls<start_call, start_outcome> m_starts;
    pending_calls<stop_call, bool> m_stops;
    pending_calls<sync_call, std::optional<sync_result>> m_syncs;
    pending_calls<core::runtime_report, std::optional<core::runtime_grant>>
        m_reports;
    pending_calls<core::orders_request, std::optional<core::runtime_orders>>
        m_polls;
    std::vector<std::function<void()>> m_delayed;
    std::vector<core::event> m_events;
    std::unique_ptr<worker_agent> m_agent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_test);

} // namespace turmericswitch::workflow
