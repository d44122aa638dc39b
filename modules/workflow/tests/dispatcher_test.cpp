#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Single failures in the leader's decisions; `dispatch_fuzz_test` combines
/// them.
class dispatcher_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(end_is_acknowledged_only_after_its_commit);
    CPPUNIT_TEST(placement_and_end_events_have_their_inputs);
    CPPUNIT_TEST(event_of_a_lost_run_says_whether_it_was_seen_at_work);
    CPPUNIT_TEST(report_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(restart_of_a_worker_ends_its_earlier_runs_at_once);
    CPPUNIT_TEST(start_of_a_batch_task_is_delayed_for_longer_after_each_crash);
    CPPUNIT_TEST(delay_after_crashes_outlasts_the_leader);
    CPPUNIT_TEST(other_tasks_do_not_wait_for_a_delayed_one);
    CPPUNIT_TEST(delayed_task_with_an_unresolved_start_waits);
    CPPUNIT_TEST(long_running_task_is_restarted_after_all_crashes);
    CPPUNIT_TEST(start_is_delayed_after_many_crashes);
    CPPUNIT_TEST(job_waits_until_its_worker_lists_a_task);
    CPPUNIT_TEST(only_runs_not_yet_seen_at_work_are_suspected);
    CPPUNIT_TEST(restart_after_a_notice_or_of_the_instance_is_no_crash);
    CPPUNIT_TEST(draining_worker_and_evacuated_zone_get_no_tasks);
    CPPUNIT_TEST(placed_run_is_not_started_in_an_evacuated_zone);
    CPPUNIT_TEST(placed_run_is_not_started_on_a_draining_worker);
    CPPUNIT_TEST(run_at_work_in_an_evacuated_zone_is_not_stopped);
    CPPUNIT_TEST(worker_whose_reported_clock_stands_still_gets_no_tasks);
    CPPUNIT_TEST(lost_batch_of_orders_is_sent_again);
    CPPUNIT_TEST(no_start_is_sent_while_its_refusal_is_committed);
    CPPUNIT_TEST(cancelled_run_is_stopped_until_it_has_ended);
    CPPUNIT_TEST(workflow_with_a_schedule_waits_for_its_time);
    CPPUNIT_TEST(age_is_measured_on_the_replicated_clock);
    CPPUNIT_TEST(old_long_running_job_is_placed_before_new_batch);
    CPPUNIT_TEST(quarantined_worker_gets_long_running_tasks_one_by_one);
    CPPUNIT_TEST_SUITE_END();

public:
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

    void restart_of_a_worker_ends_its_earlier_runs_at_once()
    {
        start_one();
        report({}, profile("w1", 8000, 2));
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::crashed);
    }

    // A task may crash each worker that starts it. Without a delay it is
    // started again as soon as a worker is up, and all other runs there are
    // lost each time. Its job has no end `failed`, so it must not be shown as
    // failed either.
    void start_of_a_batch_task_is_delayed_for_longer_after_each_crash()
    {
        submit();
        std::uint64_t life = 0;
        while (life < crashes_before_delay)
        {
            place_in(++life);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        for (auto const delay : {std::chrono::seconds(3),
                                 std::chrono::seconds(300),
                                 std::chrono::seconds(300)})
        {
            expect_delay(++life, delay);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::queued);
        auto const event = last_event(core::event_code::task_isolated);
        CPPUNIT_ASSERT(has_field(event, core::text_field("task", "a.0.0.0")) &&
                       has_field(event, core::number_field("crashes", 7)));
    }

    // Guards against a task that takes a worker down with each change of
    // leader.
    void delay_after_crashes_outlasts_the_leader()
    {
        submit();
        for (std::uint64_t life = 1; life <= crashes_before_delay + 1; ++life)
        {
            m_now += std::chrono::seconds(life > crashes_before_delay ? 3 : 0);
            place_in(life);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        expect_delay(crashes_before_delay + 2, std::chrono::seconds(300));
    }

    // Guards against a job that waits for a task of another one, and against a
    // task that waits for another one of its stage.
    void other_tasks_do_not_wait_for_a_delayed_one()
    {
        expect_only_others_placed(false);
    }

    // A task whose start may still be executed goes to the same worker. Guards
    // against a placement there that is neither delayed nor isolated, beside
    // another task of its stage that may start.
    void delayed_task_with_an_unresolved_start_waits()
    {
        expect_only_others_placed(true);
    }

    // Guards against a service that is given up for good because its workers
    // crashed, and against one that crashes them without an operator's notice.
    void long_running_task_is_restarted_after_all_crashes()
    {
        auto service = stage(1);
        service.behaviour.long_running = true;
        m_table.submit(submission("a", {service}), queue(), m_now);
        for (std::uint64_t life = 1; life <= 8; ++life)
        {
            m_now += std::chrono::seconds(3);
            place_in(life);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::queued);
        auto const event = last_event(core::event_code::task_isolated);
        CPPUNIT_ASSERT(has_field(event, core::text_field("task", "a.0.0.0")) &&
                       has_field(event, core::number_field("crashes", 8)));
    }

    // Guards against a service that takes a worker down again as soon as the
    // last one is back.
    void start_is_delayed_after_many_crashes()
    {
        auto service = stage(1);
        service.behaviour.long_running = true;
        m_table.submit(submission("a", {service}), queue(), m_now);
        for (std::uint64_t life = 1; life <= crashes_before_delay; ++life)
        {
            place_in(life);
            report({}, profile("w1", 8000, life + 1));
            commit();
        }
        auto const worker = profile("w1", 8000, crashes_before_delay + 1);
        m_now += std::chrono::milliseconds(2900);
        report({}, worker, steady_ms);
        grant(crashes_before_delay + 1);
        CPPUNIT_ASSERT(!plan().has_value());
        m_now += std::chrono::milliseconds(100);
        commit();
        CPPUNIT_ASSERT(m_table.find_task(run_of("a", 0, 0).task)->placed);
    }

    // Guards against a job that is shown as begun because it is placed, though
    // its start has had no effect, and against one whose begin is forgotten
    // with a commit that failed.
    void job_waits_until_its_worker_lists_a_task()
    {
        start_one();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::queued);
        auto const run = run_of("a", 0, 0);
        report(running({run}));
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        m_dispatcher->rejected(*command);
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
        report(running({run}), profile("w1"), at_work_ms + 10);
        CPPUNIT_ASSERT(!plan().has_value());
    }

    // Runs that had worked for a while did not cause the crash. If they were
    // counted, their tasks would wait for the crashes that others cause.
    void only_runs_not_yet_seen_at_work_are_suspected()
    {
        submit();
        for (std::uint64_t life = 1; life <= 6; ++life)
        {
            place_in(life);
            auto const run =
                run_of("a", 0, 0, static_cast<std::uint32_t>(life));
            auto const worker = profile("w1", 8000, life);
            report(running({run}), worker, steady_ms);
            report(running({run}), worker, steady_ms + 500);
            if (life == 1)
            {
                commit();
            }
            report({}, profile("w1", 8000, life + 1));
            commit();
            CPPUNIT_ASSERT_EQUAL(
                std::uint32_t{0},
                m_table.find_task(run_of("a", 0, 0).task)->crashes);
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    // A worker that drains or leaves ends its runs by itself, and a task can't
    // restart the instance with its sidecar. If these counted, planned restarts
    // and power failures would isolate and delay tasks.
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
            CPPUNIT_ASSERT_EQUAL(
                std::uint32_t{0},
                m_table.find_task(run_of("a", 0, 0).task)->crashes);
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::queued);
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

    // Guards against a start in a zone that is out of service: the worker left
    // the first start unanswered, and the leader repeats it after the zone was
    // evacuated.
    void placed_run_is_not_started_in_an_evacuated_zone()
    {
        start_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        m_config.evacuated = {core::zone_id("zone-a")};
        expect_withdrawn(profile("w1"));
    }

    // As above, for a worker that drains before its start was answered.
    void placed_run_is_not_started_on_a_draining_worker()
    {
        start_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        auto leaving = profile("w1");
        leaving.draining = true;
        expect_withdrawn(leaving);
    }

    // Guards against work that is stopped because its zone is evacuated, also
    // if the worker doesn't list it yet when that happens.
    void run_at_work_in_an_evacuated_zone_is_not_stopped()
    {
        start_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        m_config.evacuated = {core::zone_id("zone-a")};
        report({});
        CPPUNIT_ASSERT(orders().stops.empty());
        m_now += std::chrono::seconds(1);
        report(running({run_of("a", 0, 0)}));
        m_now += std::chrono::seconds(2);
        CPPUNIT_ASSERT(orders().stops.empty());
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

    // The sidecar restarts after it has reported the refusal, and the reports
    // of the next one don't have it. Guards against a start that the next one
    // makes again although the end is being committed: the task then runs
    // twice.
    void no_start_is_sent_while_its_refusal_is_committed()
    {
        start_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        auto const run = run_of("a", 0, 0);
        report_refused({run}, profile("w1"));
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->ends.size());
        m_sidecar = core::incarnation(m_sidecar.value() + 1);
        report({});
        CPPUNIT_ASSERT(started(orders()).empty());
        m_dispatcher->rejected(*command);
        CPPUNIT_ASSERT(m_dispatcher->workers_with_orders(m_now).contains(
            core::worker_id("w1")));
        CPPUNIT_ASSERT(started(orders()) == std::vector{run});
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
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id("a"), {}, {}}, m_now);
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
    /// Commits placements of the first task of job `a` that end with a counted
    /// crash, until its next start is delayed.
    void count_crashes(bool is_start_unresolved)
    {
        for (std::uint32_t i = 1; i <= crashes_before_delay; ++i)
        {
            auto const run = run_of("a", 0, 0, i);
            core::workflow_progress begin;
            begin.placements = {placed(run)};
            m_table.progress(begin, m_now);
            core::workflow_progress end;
            end.ends = {ended(run, core::run_end::crashed)};
            end.ends.front().is_start_unresolved = is_start_unresolved;
            m_table.progress(end, m_now);
        }
    }

    /// Expects that a delayed task is not placed when the other task of its
    /// stage and another job are.
    void expect_only_others_placed(bool is_start_unresolved)
    {
        m_table.submit(submission("a", {stage(2)}), queue(), m_now);
        count_crashes(is_start_unresolved);
        m_table.submit(submission("b", {stage(1)}), queue(), m_now);
        report({});
        report({}, profile("w1"), steady_ms);
        grant();
        commit();
        CPPUNIT_ASSERT(!m_table.find_task(run_of("a", 0, 0).task)->placed);
        CPPUNIT_ASSERT(m_table.find_task(run_of("a", 0, 1).task)->placed);
        CPPUNIT_ASSERT(m_table.find_task(run_of("b", 0, 0).task)->placed);
    }

    /// Expects that the next start of the task of job `a`, on the incarnation
    /// of w1, waits until the delay from now has passed.
    void expect_delay(std::uint64_t life, core::duration delay)
    {
        constexpr core::duration step = std::chrono::milliseconds(100);
        auto const worker = profile("w1", 8000, life);
        m_now += delay - step;
        report({}, worker);
        report({}, worker, steady_ms);
        grant(life);
        auto const early = plan();
        CPPUNIT_ASSERT(!early || early->placements.empty());
        m_now += step;
        commit();
        CPPUNIT_ASSERT(m_table.find_task(run_of("a", 0, 0).task)->placed);
    }

    /// Expects that the run placed on w1 is stopped instead of started again,
    /// and is placed again once it is certain not to begin.
    void expect_withdrawn(core::worker_profile const& worker)
    {
        report({}, worker);
        auto const soon = orders();
        CPPUNIT_ASSERT(started(soon).empty() && soon.stops.empty());
        m_now += std::chrono::seconds(2);
        report({}, worker);
        CPPUNIT_ASSERT(started(orders()).empty());
        auto const run = run_of("a", 0, 0);
        CPPUNIT_ASSERT(orders().stops == std::vector{run});
        report_refused({run}, worker);
        commit();
        CPPUNIT_ASSERT(m_table.held_on(core::worker_id("w1")).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace turmericswitch::workflow
