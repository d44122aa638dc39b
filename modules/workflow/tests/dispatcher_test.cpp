#include "workflow/dispatch/dispatcher.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace turmericswitch::workflow
{

using namespace testing;

/// Single failures in the leader's decisions; `dispatch_fuzz_test` combines
/// them.
class dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(end_is_acknowledged_only_after_its_commit);
    CPPUNIT_TEST(placement_and_end_events_have_their_inputs);
    CPPUNIT_TEST(event_of_a_lost_run_says_whether_it_was_seen_at_work);
    CPPUNIT_TEST(report_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(new_leader_waits_for_the_longest_lease);
    CPPUNIT_TEST(new_leader_waits_no_longer_than_the_recorded_lease);
    CPPUNIT_TEST(new_leader_without_a_record_waits_for_the_longest_lease);
    CPPUNIT_TEST(longer_lease_is_recorded_before_it_is_granted);
    CPPUNIT_TEST(shorter_lease_is_recorded_after_longer_ones_expired);
    CPPUNIT_TEST(runs_of_a_silent_worker_are_lost_after_its_lease);
    CPPUNIT_TEST(reports_with_an_old_clock_do_not_delay_the_loss_of_runs);
    CPPUNIT_TEST(worker_lost_after_its_first_report_has_only_granted_leases);
    CPPUNIT_TEST(restart_of_a_worker_ends_its_earlier_runs_at_once);
    CPPUNIT_TEST(task_that_crashes_workers_fails_its_workflow);
    CPPUNIT_TEST(only_runs_not_yet_seen_at_work_are_suspected);
    CPPUNIT_TEST(restart_after_a_notice_or_of_the_instance_is_no_crash);
    CPPUNIT_TEST(lease_is_recorded_apart_from_placements);
    CPPUNIT_TEST(run_on_an_unknown_later_incarnation_is_lost_after_its_lease);
    CPPUNIT_TEST(report_without_a_clock_postpones_no_loss);
    CPPUNIT_TEST(silent_worker_gets_no_tasks);
    CPPUNIT_TEST(report_of_a_silent_worker_postpones_no_loss);
    CPPUNIT_TEST(draining_worker_and_evacuated_zone_get_no_tasks);
    CPPUNIT_TEST(worker_whose_reported_clock_stands_still_gets_no_tasks);
    CPPUNIT_TEST(lost_batch_of_orders_is_sent_again);
    CPPUNIT_TEST(cancelled_run_is_stopped_until_it_has_ended);
    CPPUNIT_TEST(workflow_with_a_schedule_waits_for_its_time);
    CPPUNIT_TEST(age_is_measured_on_the_replicated_clock);
    CPPUNIT_TEST(old_long_running_job_is_placed_before_new_batch);
    CPPUNIT_TEST(shrunk_capacity_withdraws_only_the_starts_in_excess);
    CPPUNIT_TEST(running_work_over_a_shrunk_capacity_goes_on);
    CPPUNIT_TEST(start_in_flight_is_withdrawn_only_when_it_is_due_again);
    CPPUNIT_TEST(shrunk_capacity_withdraws_low_priority_first);
    CPPUNIT_TEST(shrunk_memory_withdraws_only_tasks_that_need_it);
    CPPUNIT_TEST(withdrawn_gang_member_withdraws_its_gang);
    CPPUNIT_TEST(grown_capacity_is_used_again);
    CPPUNIT_TEST(overcommitted_worker_gets_no_best_effort_tasks);
    CPPUNIT_TEST(withdrawn_starts_do_not_set_the_worker_aside);
    CPPUNIT_TEST(orders_have_all_that_the_worker_must_have_room_for);
    CPPUNIT_TEST(quarantined_worker_gets_long_running_tasks_one_by_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table = {};
        m_now = at_ms(1'000'000);
        m_config = {};
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
    }

    // The worker drops an acknowledged end. If the commit were lost after that,
    // the task would run again.
    void end_is_acknowledged_only_after_its_commit()
    {
        start_one();
        core::worker_runs runs;
        runs.ended = {{1, run_of("a", 0, 0), core::run_end::done, {}}};
        report(runs);
        CPPUNIT_ASSERT(
            m_dispatcher->has_uncommitted_ends(core::worker_id("w1")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, grant().acknowledged_ends);
        commit();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant().acknowledged_ends);
    }

    // From a task's id alone an operator must be able to find where it was
    // placed, how long it waited, and how old the report behind the decision
    // was.
    void placement_and_end_events_have_their_inputs()
    {
        submit();
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(300);
        report({});
        grant();
        commit();
        auto const& placed = last_event(core::event_code::run_placed);
        auto const task = core::to_string(run_of("a", 0, 0).task);
        CPPUNIT_ASSERT(placed.fields[0] == core::text_field("task", task));
        CPPUNIT_ASSERT(has_field(placed, core::text_field("worker", "w1")));
        CPPUNIT_ASSERT(has_field(placed, core::number_field("waited_ms", 300)));
        CPPUNIT_ASSERT(
            has_field(placed, core::number_field("report_age_ms", 0)));
        core::worker_runs runs;
        runs.ended = {{1, run_of("a", 0, 0), core::run_end::done, {}}};
        report(runs);
        commit();
        auto const& ended = last_event(core::event_code::run_ended);
        CPPUNIT_ASSERT(ended.fields[0] == core::text_field("task", task));
        CPPUNIT_ASSERT(has_field(ended, core::text_field("how", "done")));
    }

    // When a task crashes its worker, all runs there end in the same moment.
    // Without this field the log does not tell the runs that had just been
    // started, one of which is the cause, from those that had worked before.
    void event_of_a_lost_run_says_whether_it_was_seen_at_work()
    {
        m_table.submit(submission("a", {stage(2)}), queue(), m_now);
        report({});
        grant();
        commit();
        auto const first = run_of("a", 0, 0);
        report(running({first}), profile("w1"), at_work_ms);
        report(running({first, run_of("a", 0, 1)}),
               profile("w1"),
               at_work_ms + 500);
        report({}, profile("w1", 8000, 2));
        commit();
        auto const& lost = last_event(core::event_code::worker_lost);
        CPPUNIT_ASSERT(has_field(lost, core::number_field("runs", 2)));
        CPPUNIT_ASSERT(
            has_field(lost, core::number_field("not_established", 1)));
        CPPUNIT_ASSERT(has_field(lost, core::number_field("crashed", 1)));
        for (auto const& each : m_events)
        {
            if (each.code == core::event_code::run_ended)
            {
                bool const is_first =
                    each.fields[0] ==
                    core::text_field("task", core::to_string(first.task));
                CPPUNIT_ASSERT(has_field(
                    each, core::number_field("established", is_first ? 1 : 0)));
            }
        }
    }

    // A delayed report can arrive after the worker has restarted.
    void report_of_an_earlier_incarnation_is_ignored()
    {
        CPPUNIT_ASSERT(report({}, profile("w1", 8000, 2)));
        CPPUNIT_ASSERT(!report({}, profile("w1", 8000, 1)));
        CPPUNIT_ASSERT(
            m_dispatcher->fleet().find(core::worker_id("w1"))->profile.life ==
            core::incarnation(2));
    }

    // The previous leader may have granted a lease just before the election.
    void new_leader_waits_for_the_longest_lease()
    {
        place_on_lost_worker();
        m_now += std::chrono::milliseconds(6300);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // A worker and the leader are lost together. If the next leader assumed the
    // longest lease that workers accept, although none was granted, the tasks
    // of the worker would wait that much longer.
    void new_leader_waits_no_longer_than_the_recorded_lease()
    {
        record_lease(std::chrono::seconds(6));
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        place_on_lost_worker();
        m_now += std::chrono::milliseconds(6300);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // A leader of a release that records no lease may have granted the longest
    // one.
    void new_leader_without_a_record_waits_for_the_longest_lease()
    {
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        place_on_lost_worker();
        m_now += std::chrono::milliseconds(10'400);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::lost);
    }

    // A leader with a longer lease setting must not grant what its successor
    // would not wait for.
    void longer_lease_is_recorded_before_it_is_granted()
    {
        record_lease(std::chrono::seconds(6));
        elect({std::chrono::seconds(10), std::chrono::seconds(9)});
        report({});
        CPPUNIT_ASSERT(grant().lease_until == std::chrono::seconds(56));
        commit_record();
        CPPUNIT_ASSERT(m_table.longest_lease() == std::chrono::seconds(9));
        CPPUNIT_ASSERT(grant().lease_until == std::chrono::seconds(59));
    }

    // While longer leases of earlier leaders may be valid, a further leader
    // must still wait for them.
    void shorter_lease_is_recorded_after_longer_ones_expired()
    {
        record_lease(std::chrono::seconds(10));
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        m_now += std::chrono::milliseconds(10'400);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(100);
        commit_record();
        CPPUNIT_ASSERT(m_table.longest_lease() == std::chrono::seconds(6));
        CPPUNIT_ASSERT(!plan());
    }

    void runs_of_a_silent_worker_are_lost_after_its_lease()
    {
        start_one();
        grant();
        m_now += std::chrono::milliseconds(6300);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::lost);
    }

    // A sidecar repeats the last clock of a worker that has stopped answering,
    // for example after each poll that fails. The worker's lease ends on its
    // own clock, so such reports must not postpone the loss of its runs.
    void reports_with_an_old_clock_do_not_delay_the_loss_of_runs()
    {
        start_one();
        grant();
        for (int i = 0; i < 7; ++i)
        {
            m_now += std::chrono::milliseconds(900);
            CPPUNIT_ASSERT(!plan());
            report({});
            grant();
        }
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // A worker registers long after the election and is lost soon after its
    // first tasks. Earlier leaders can't have granted it a lease since the
    // election, so the longest lease must not be assumed for it.
    void worker_lost_after_its_first_report_has_only_granted_leases()
    {
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        m_now += std::chrono::seconds(20);
        start_one();
        grant();
        m_now += std::chrono::milliseconds(6300);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // A member of an earlier release skips the entry that records the lease.
    // Guards against placements and ends that it would skip with it.
    void lease_is_recorded_apart_from_placements()
    {
        record_lease(std::chrono::seconds(6));
        elect({std::chrono::seconds(10), std::chrono::seconds(9)});
        submit();
        report({});
        grant();
        commit_record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan()->placements.size());
    }

    // The new leader gets only a late report of the worker's incarnation before
    // the one that an earlier leader used. Guards against a run that is then
    // never given up.
    void run_on_an_unknown_later_incarnation_is_lost_after_its_lease()
    {
        submit();
        core::workflow_progress by_earlier;
        by_earlier.placements = {placed(run_of("a", 0, 0), "w1", 2)};
        m_table.progress(by_earlier, m_now);
        report({});
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::seconds(15);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // A sidecar that has just started knows no clock of its worker. Guards
    // against counting the lease anew from its first report.
    void report_without_a_clock_postpones_no_loss()
    {
        start_one();
        grant();
        m_now += std::chrono::milliseconds(6000);
        core::runtime_report first;
        first.host = core::instance_id("host");
        first.sidecar = core::incarnation(99);
        first.profile = profile("w1");
        m_dispatcher->report(m_now, std::move(first));
        grant();
        m_now += std::chrono::milliseconds(500);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    // Guards against tasks that are placed for seconds on a worker that has
    // crashed, although its sidecar knows that it doesn't answer.
    void silent_worker_gets_no_tasks()
    {
        submit();
        report({});
        grant();
        report_silent();
        grant();
        CPPUNIT_ASSERT(!plan());
        report({});
        grant();
        CPPUNIT_ASSERT(plan().has_value());
    }

    // A worker is lost shortly before the leader. Guards against a new leader
    // that counts the lease from the old clock that the sidecar reports, which
    // delays the next run of the worker's tasks beyond 9 s.
    void report_of_a_silent_worker_postpones_no_loss()
    {
        start_one();
        record_lease(std::chrono::seconds(6));
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        m_now += std::chrono::seconds(3);
        report_silent();
        CPPUNIT_ASSERT(grant().lease_until == core::duration{});
        m_now += std::chrono::milliseconds(3400);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
    }

    void restart_of_a_worker_ends_its_earlier_runs_at_once()
    {
        start_one();
        report({}, profile("w1", 8000, 2));
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::crashed);
    }

    // A task may crash each worker that starts it. Without a limit it is
    // started again for ever, and all other runs there are lost each time.
    void task_that_crashes_workers_fails_its_workflow()
    {
        submit();
        for (std::uint64_t life = 1; life <= 4; ++life)
        {
            CPPUNIT_ASSERT(state_of("a") != core::workflow_state::failed);
            place_in(life);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::failed);
        auto const reason = m_table.find(core::workflow_id("a"))->reason;
        CPPUNIT_ASSERT(reason.find("a.0.0.0") != std::string::npos);
        CPPUNIT_ASSERT(reason.find('4') != std::string::npos);
    }

    // Runs that had worked for a while did not cause the crash. If they were
    // counted, crashes caused by others would fail their workflow.
    void only_runs_not_yet_seen_at_work_are_suspected()
    {
        submit();
        for (std::uint64_t life = 1; life <= 6; ++life)
        {
            place_in(life);
            auto const run =
                run_of("a", 0, 0, static_cast<std::uint32_t>(life));
            auto const worker = profile("w1", 8000, life);
            report(running({run}), worker, at_work_ms);
            report(running({run}), worker, at_work_ms + 500);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    // A worker that drains or leaves ends its runs by itself, and a task can't
    // restart the instance with its sidecar. If these counted, planned restarts
    // and power failures would fail workflows.
    void restart_after_a_notice_or_of_the_instance_is_no_crash()
    {
        submit();
        for (std::uint64_t life = 1; life <= 6; ++life)
        {
            place_in(life);
            if (life % 2 == 0)
            {
                auto leaving = profile("w1", 8000, life);
                leaving.draining = true;
                report({}, leaving);
            }
            else
            {
                m_sidecar = core::incarnation(m_sidecar.value() + 1);
            }
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    void draining_worker_and_evacuated_zone_get_no_tasks()
    {
        submit();
        auto leaving = profile("w1");
        leaving.draining = true;
        report({}, leaving);
        grant();
        CPPUNIT_ASSERT(!plan());
        report({});
        m_config.evacuated = {core::zone_id("zone-a")};
        CPPUNIT_ASSERT(!plan());
        m_config.evacuated.clear();
        CPPUNIT_ASSERT(plan().has_value());
    }

    // Reports without a sync call to the worker repeat its clock. They must not
    // make the leader assume that the lease was extended.
    void worker_whose_reported_clock_stands_still_gets_no_tasks()
    {
        report({});
        grant();
        submit();
        for (int i = 0; i < 5; ++i)
        {
            m_now += std::chrono::seconds(1);
            report({});
            grant();
        }
        CPPUNIT_ASSERT(!plan());
    }

    void lost_batch_of_orders_is_sent_again()
    {
        start_one();
        auto const first = orders();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.batch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders().batch);
        m_dispatcher->acknowledge_orders(core::worker_id("w1"), 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders().batch);
        m_dispatcher->acknowledge_orders(core::worker_id("w1"), 0);
        auto const again = orders();
        CPPUNIT_ASSERT(again.starts == first.starts);
    }

    void cancelled_run_is_stopped_until_it_has_ended()
    {
        start_one();
        orders();
        m_table.cancel({core::queue_id("proofs"), core::workflow_id("a")},
                       m_now);
        // The start may still be in flight.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().stops.size());
        m_now += std::chrono::seconds(2);
        auto const again = orders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.stops.size());
        CPPUNIT_ASSERT(again.starts.empty());
    }

    void workflow_with_a_schedule_waits_for_its_time()
    {
        auto later = submission("a", {stage(1)});
        later.description.schedule.occurrences = 2;
        later.description.schedule.first =
            core::wall_time(std::chrono::seconds(100));
        later.description.schedule.interval = std::chrono::seconds(10);
        m_table.submit(later, queue(), m_now);
        report({});
        grant();
        m_wall = core::wall_time(std::chrono::seconds(99));
        CPPUNIT_ASSERT(!plan());
        m_wall = core::wall_time(std::chrono::seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan()->placements.size());
        m_wall = core::wall_time(std::chrono::seconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan()->placements.size());
    }

    // The replicated clock and the steady clock of a leader's process are
    // unrelated. When they were mixed up, after a change of leader the age of a
    // new job was the machine's uptime.
    void age_is_measured_on_the_replicated_clock()
    {
        m_cluster_ahead = -std::chrono::hours(10);
        auto const cluster = m_now + m_cluster_ahead;
        m_table.submit(submission("a", {stage(1, 8000)}),
                       queue(),
                       cluster - std::chrono::minutes(2));
        m_table.submit(submission("b", {stage(1, 8000)}), queue(), cluster);
        report({});
        grant();
        auto const command = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->placements.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             command->placements[0].run.task.workflow.value());
    }

    // Batch fills all capacity as soon as it is free. A service whose task
    // ended with its lease in a network partition must still be restarted,
    // although by its age the service would be too late.
    void old_long_running_job_is_placed_before_new_batch()
    {
        auto service = stage(1, 8000);
        service.behaviour.long_running = true;
        m_table.submit(submission("a", {service}), queue(), m_now);
        m_now += std::chrono::minutes(1);
        auto batch = queue();
        batch.priority = 2;
        m_table.submit(submission("b", {stage(8)}), batch, m_now);
        report({});
        grant();
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->placements.size());
        CPPUNIT_ASSERT(command->placements.front().run == run_of("a", 0, 0));
    }

    // The capacity shrank between a placement and its start, and the start was
    // sent nevertheless.
    void shrunk_capacity_withdraws_only_the_starts_in_excess()
    {
        place({stage(3, 2000)});
        report({}, profile("w1", 4000));
        auto const first = orders();
        CPPUNIT_ASSERT(first.stops ==
                       std::vector<core::task_run>{run_of("a", 0, 2)});
        // The withdrawn start of an earlier leader may still be in flight.
        CPPUNIT_ASSERT(first.starts.empty());
        auto const& withdrawn = last_event(core::event_code::start_withdrawn);
        CPPUNIT_ASSERT(has_field(withdrawn, core::text_field("worker", "w1")));
        report_refused(first.stops, profile("w1", 4000));
        commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(orders()).size());
    }

    void running_work_over_a_shrunk_capacity_goes_on()
    {
        place({stage(3, 2000)});
        core::worker_runs runs;
        runs.running = {{run_of("a", 0, 1), {}, 0, 0}};
        report(runs, profile("w1", 1000));
        auto const due = orders();
        CPPUNIT_ASSERT(due.starts.empty());
        std::vector<core::task_run> const expected{run_of("a", 0, 0),
                                                   run_of("a", 0, 2)};
        CPPUNIT_ASSERT(due.stops == expected);
    }

    // The start may just have been executed; a stop would end running work.
    void start_in_flight_is_withdrawn_only_when_it_is_due_again()
    {
        place({stage(1, 2000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        report({}, profile("w1", 1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders().batch);
        m_now += std::chrono::milliseconds(1500);
        CPPUNIT_ASSERT(m_dispatcher->workers_with_orders(m_now).contains(
            core::worker_id("w1")));
        auto const due = orders();
        CPPUNIT_ASSERT(due.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.stops.size());
    }

    void shrunk_capacity_withdraws_low_priority_first()
    {
        auto low = queue();
        low.priority = 2;
        m_table.submit(submission("a", {stage(1, 2000)}), low, m_now);
        m_table.submit(submission("b", {stage(1, 2000)}), queue(), m_now);
        report({});
        grant();
        commit();
        report({}, profile("w1", 2000));
        CPPUNIT_ASSERT(orders().stops ==
                       std::vector<core::task_run>{run_of("a", 0, 0)});
    }

    // Best-effort tasks reserve memory and accelerators but no CPU.
    void shrunk_memory_withdraws_only_tasks_that_need_it()
    {
        auto spare = stage(1, 1000);
        spare.behaviour.uses_spare_cpu = true;
        spare.need.memory = core::byte_count(std::int64_t{40} << 20);
        auto accelerated = stage(1, 1000);
        accelerated.need.memory = core::byte_count(0);
        accelerated.need.accelerators = core::accelerator_count(1);
        auto of = profile("w1");
        of.capacity.accelerators = core::accelerator_count(1);
        m_table.submit(submission("a", {spare, accelerated}), queue(), m_now);
        report({}, of);
        grant();
        commit();
        auto less_memory = of;
        less_memory.capacity.memory = core::byte_count(1 << 20);
        report({}, less_memory);
        auto const first = orders();
        CPPUNIT_ASSERT(first.stops ==
                       std::vector<core::task_run>{run_of("a", 0, 0)});
        report_refused(first.stops, less_memory);
        commit();
        CPPUNIT_ASSERT(started(orders()) ==
                       std::vector<core::task_run>{run_of("a", 1, 0)});
        m_now += std::chrono::seconds(2);
        report({});
        CPPUNIT_ASSERT(orders().stops ==
                       std::vector<core::task_run>{run_of("a", 1, 0)});
    }

    // The other members would wait in vain until they end `alone`.
    void withdrawn_gang_member_withdraws_its_gang()
    {
        auto gang = stage(2, 4000);
        gang.behaviour.gang = true;
        place({gang});
        report({}, profile("w1", 4000));
        std::vector<core::task_run> const expected{run_of("a", 0, 0),
                                                   run_of("a", 0, 1)};
        CPPUNIT_ASSERT(orders().stops == expected);
    }

    void grown_capacity_is_used_again()
    {
        place({stage(2, 2000)});
        report({}, profile("w1", 2000));
        report({}, profile("w1", 4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(orders()).size());
        m_table.submit(submission("b", {stage(1, 4000)}), queue(), m_now);
        CPPUNIT_ASSERT(!plan());
        report({}, profile("w1", 8000));
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan()->placements.size());
    }

    void overcommitted_worker_gets_no_best_effort_tasks()
    {
        place({stage(2, 2000)});
        auto spare = stage(1, 100);
        spare.behaviour.uses_spare_cpu = true;
        spare.need.memory = core::byte_count(0);
        m_table.submit(submission("b", {spare}), queue(), m_now);
        report({}, profile("w1", 3999));
        CPPUNIT_ASSERT(!plan());
    }

    // A worker is set aside after several refusals in a row; those that the
    // leader asked for say nothing about its health.
    void withdrawn_starts_do_not_set_the_worker_aside()
    {
        place({stage(4, 2000)});
        report({}, profile("w1", 0));
        report_refused(orders().stops, profile("w1", 0));
        commit();
        report({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan()->placements.size());
    }

    // The sidecar compares it with a capacity that the leader may not know.
    void orders_have_all_that_the_worker_must_have_room_for()
    {
        place({stage(3, 2000)});
        core::worker_runs runs;
        runs.running = {{run_of("a", 0, 0), {}, 0, 0}};
        report(runs);
        auto const all = orders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(all).size());
        CPPUNIT_ASSERT(all.reserved.cpu == core::millicores(6000));
        CPPUNIT_ASSERT(all.reserved.memory == core::byte_count(3 << 20));
        runs.running.clear();
        runs.ended = {{1, run_of("a", 0, 0), core::run_end::done, {}}};
        report(runs);
        m_table.cancel({core::queue_id("proofs"), core::workflow_id("a")},
                       m_now);
        auto const stops = orders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stops.stops.size());
        CPPUNIT_ASSERT(stops.reserved.cpu == core::millicores(4000));
    }

    // A worker failed every task for a while, works again, and is the only one
    // with room for a long-running task. In a quarantine of up to 16 s the task
    // would not run. Batch must stay away, and starts be few.
    void quarantined_worker_gets_long_running_tasks_one_by_one()
    {
        for (std::string const id : {"x", "y", "z"})
        {
            m_table.submit(submission(id, {stage(1)}), queue(), m_now);
        }
        report({});
        grant();
        commit();
        core::worker_runs runs;
        std::uint64_t number = 0;
        for (std::string const id : {"x", "y", "z"})
        {
            runs.ended.push_back(
                {++number, run_of(id, 0, 0), core::run_end::failed, {}});
        }
        report(runs);
        commit();
        CPPUNIT_ASSERT(!plan());
        auto service = stage(2);
        service.behaviour.long_running = true;
        m_table.submit(submission("a", {service}), queue(), m_now);
        auto const first = plan();
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->placements.size());
        CPPUNIT_ASSERT(first->placements.front().run == run_of("a", 0, 0));
        m_table.progress(*first, m_now);
        m_dispatcher->applied(m_now, *first);
        m_now += std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(plan()->placements.front().run == run_of("a", 0, 1));
    }

private:
    /// Submits job `a` and places all its tasks on w1.
    void place(std::vector<core::stage_description> stages)
    {
        m_table.submit(submission("a", std::move(stages)), queue(), m_now);
        report({});
        grant();
        commit();
    }

    static std::vector<core::task_run>
    started(core::runtime_orders const& orders)
    {
        std::vector<core::task_run> runs;
        for (auto const& group : orders.starts)
        {
            for (auto const& each : group.starts)
            {
                runs.push_back(each.run);
            }
        }
        return runs;
    }

    void report_refused(std::vector<core::task_run> runs,
                        core::worker_profile const& of)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.profile = of;
        result.clock = std::chrono::seconds(50);
        result.runs.emplace();
        result.refused = std::move(runs);
        m_dispatcher->report(m_now, std::move(result));
    }

    /// Replaces the leader by one that is elected now.
    void elect(lease_policy leases)
    {
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            dispatch_options{leases},
            7,
            m_now,
            [this](core::event const& what) { m_events.push_back(what); });
    }

    void record_lease(core::duration length)
    {
        core::workflow_progress command;
        command.longest_lease = length;
        m_table.progress(command, m_now);
    }

    /// Submits job `a`, whose task an earlier leader placed on a worker that
    /// never reports.
    void place_on_lost_worker()
    {
        submit();
        core::workflow_progress by_earlier;
        by_earlier.placements = {placed(run_of("a", 0, 0), "gone")};
        m_table.progress(by_earlier, m_now);
    }

    void submit()
    {
        m_table.submit(submission("a", {stage(1)}), queue(), m_now);
    }

    /// The worker's clock in most reports.
    static constexpr std::int64_t at_work_ms = 50'000;

    static core::worker_runs running(std::vector<core::task_run> const& runs)
    {
        core::worker_runs result;
        for (auto const& run : runs)
        {
            core::running_task row;
            row.run = run;
            result.running.push_back(row);
        }
        return result;
    }

    /// The sidecar reports that its worker does not answer.
    void report_silent()
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = profile("w1");
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
        result.silent = true;
        m_dispatcher->report(m_now, std::move(result));
    }

    bool report(core::worker_runs runs,
                core::worker_profile const& of = profile("w1"),
                std::int64_t clock_ms = at_work_ms)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = of;
        result.clock = std::chrono::milliseconds(clock_ms);
        result.runs = std::move(runs);
        return m_dispatcher->report(m_now, std::move(result));
    }

    core::runtime_grant grant(std::uint64_t life = 1)
    {
        return m_dispatcher->grant(core::worker_id("w1"),
                                   core::incarnation(life));
    }

    /// Places the task of job `a` on the incarnation of w1.
    void place_in(std::uint64_t life)
    {
        report({}, profile("w1", 8000, life));
        grant(life);
        commit();
        CPPUNIT_ASSERT(
            m_table.is_held(run_of("a", 0, 0, static_cast<std::uint32_t>(life)),
                            core::worker_id("w1"),
                            core::incarnation(life)));
    }

    core::workflow_state state_of(std::string const& id) const
    {
        return m_table.find(core::workflow_id(id))->state;
    }

    std::optional<core::workflow_progress> plan_once()
    {
        return m_dispatcher->plan({m_now, m_now + m_cluster_ahead, m_wall},
                                  m_config);
    }

    /// Commits the command that records the length of leases.
    void commit_record()
    {
        auto const command = plan_once();
        CPPUNIT_ASSERT(command.has_value());
        core::workflow_progress expected;
        expected.longest_lease = command->longest_lease;
        CPPUNIT_ASSERT(expected.longest_lease > core::duration{});
        CPPUNIT_ASSERT(*command == expected);
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
    }

    /// Plans the work. A length of leases that must be recorded comes first.
    std::optional<core::workflow_progress> plan()
    {
        auto command = plan_once();
        if (command && command->longest_lease > core::duration{})
        {
            m_table.progress(*command, m_now);
            m_dispatcher->applied(m_now, *command);
            command = plan_once();
        }
        return command;
    }

    void commit()
    {
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
    }

    core::runtime_orders orders()
    {
        return m_dispatcher->take_orders(
            m_now, core::worker_id("w1"), core::incarnation(1));
    }

    /// Submits job `a` and places its task on w1.
    void start_one()
    {
        submit();
        report({});
        grant();
        commit();
        CPPUNIT_ASSERT(!m_table.held_on(core::worker_id("w1")).empty());
    }

    workflow_table m_table;
    core::configuration m_config;
    core::time_point m_now;
    core::wall_time m_wall;
    core::incarnation m_sidecar{1};
    core::event const& last_event(core::event_code code) const
    {
        auto const found = std::find_if(m_events.rbegin(),
                                        m_events.rend(),
                                        [code](core::event const& each)
                                        { return each.code == code; });
        CPPUNIT_ASSERT(found != m_events.rend());
        return *found;
    }

    static bool has_field(core::event const& what,
                          core::event_field const& field)
    {
        return std::find(what.fields.begin(), what.fields.end(), field) !=
               what.fields.end();
    }

    /// Offset of the replicated clock from this process's clock.
    core::duration m_cluster_ahead{};
    std::vector<core::event> m_events;
    std::unique_ptr<dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace turmericswitch::workflow
