#include "dispatcher_fixture.hpp"

#include <utility>

namespace turmericswitch::workflow
{

using namespace testing;

/// Starts that a worker executes after its restart although everything that the
/// leader knows of its last run says that no start of the task is open.
class start_affinity_review_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(start_affinity_review_test);
    CPPUNIT_TEST(second_attempt_does_not_resolve_starts_of_an_earlier_sidecar);
    CPPUNIT_TEST(late_end_before_the_end_of_the_next_run_is_counted);
    CPPUNIT_TEST(late_end_stops_a_later_run_that_has_not_begun);
    CPPUNIT_TEST(late_end_beside_a_later_run_at_work_is_acknowledged);
    CPPUNIT_TEST(task_waits_while_a_worker_lists_a_run_of_it);
    CPPUNIT_TEST(task_waits_for_the_list_of_a_registered_incarnation);
    CPPUNIT_TEST(registered_incarnation_does_not_show_that_a_start_is_resolved);
    CPPUNIT_TEST(task_of_a_silent_worker_is_free_when_its_start_is_resolved);
    CPPUNIT_TEST(task_of_a_lost_instance_is_free_15_s_after_its_last_report);
    CPPUNIT_TEST(late_report_of_an_earlier_sidecar_resolves_no_start);
    CPPUNIT_TEST(late_end_of_a_gang_is_counted);
    CPPUNIT_TEST(late_end_of_a_gang_waits_for_its_other_members);
    CPPUNIT_TEST(late_failure_counts_once);
    CPPUNIT_TEST(restored_long_running_task_waits_no_longer);
    CPPUNIT_TEST(no_start_beside_a_late_run_of_an_ended_job);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        dispatcher_fixture::setUp();
        m_table.submit(submission("a", {stage(1)}), queue(), m_now);
    }

    // A start of attempt 1 of a long-running task has no answer, and its
    // sidecar restarts. The next sidecar makes all calls of attempt 2, which is
    // refused at once. Guards against two runs of one task: the answers to the
    // calls of attempt 2 say nothing of the call of attempt 1, which the worker
    // may still execute.
    void second_attempt_does_not_resolve_starts_of_an_earlier_sidecar()
    {
        auto lasting = stage(1);
        lasting.behaviour.long_running = true;
        m_table = {};
        m_table.submit(submission("a", {lasting}), queue(), m_now);
        place_first();
        m_now += seconds(1);
        m_sidecar = core::incarnation(2);
        auto report = report_of("w1");
        report.refused = {attempt(1)};
        report.unresolved.is_complete = false;
        send(report);
        commit();
        m_now += seconds(1);
        report.refused = {};
        send(report);
        report_free("w2");
        commit();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w1"));
        m_now += seconds(1);
        report.refused = {attempt(2)};
        report.profile.draining = true;
        send(report);
        commit();
        expect_no_placement_elsewhere();
    }

    // A worker restarts while attempt 2 is placed on it, executes the late
    // start of attempt 1, and its first list has the end of that. Guards
    // against an end `done` that is acknowledged without being counted, because
    // the end of attempt 2, which follows from the same list, is not committed
    // yet: the task runs again.
    void late_end_before_the_end_of_the_next_run_is_counted()
    {
        place_second();
        auto next = report_of("w1", 2);
        next.runs->ended = {{1, attempt(1), core::run_end::done, {}}};
        send(next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends(2));
        commit();
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends(2));
    }

    // Guards against a start after an end `done` that is acknowledged later.
    void late_end_stops_a_later_run_that_has_not_begun()
    {
        place_second();
        auto report = report_of("w1");
        report.runs->ended = {{1, attempt(1), core::run_end::done, {}}};
        send(report);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends(1));
        auto const ordered = orders();
        CPPUNIT_ASSERT(started(ordered).empty());
        CPPUNIT_ASSERT(ordered.stops == std::vector{attempt(2)});
        m_now += seconds(1);
        report.refused = {attempt(2)};
        send(report);
        commit();
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends(1));
    }

    // Guards against a worker whose ends are not acknowledged as long as the
    // other run of a task goes on.
    void late_end_beside_a_later_run_at_work_is_acknowledged()
    {
        place_second();
        auto report = report_of("w1");
        report.runs = running({attempt(2)});
        report.runs->ended = {{1, attempt(1), core::run_end::done, {}}};
        send(report);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends(1));
        CPPUNIT_ASSERT(orders().stops.empty());
    }

    // A worker executes the late start of a run that has ended at the last
    // moment, and its list shows it when the sidecar counts the start as
    // resolved. Guards against two runs of the task at the same time.
    void task_waits_while_a_worker_lists_a_run_of_it()
    {
        place_first();
        m_now += seconds(1);
        auto report = report_of("w1");
        report.refused = {attempt(1)};
        send(report);
        commit();
        auto next = report_of("w1", 2);
        next.runs = running({attempt(1)});
        next.profile.draining = true;
        send(next);
        expect_no_placement_elsewhere();
        next.runs = running({});
        send(next);
        plan_beside_free_worker();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w2"));
    }

    // An incarnation has registered and answers no sync call when the last
    // start of a run that has ended can have been executed. Guards against two
    // runs of the task: it may run there, until its lease is over.
    void task_waits_for_the_list_of_a_registered_incarnation()
    {
        end_first_unresolved();
        m_now += std::chrono::milliseconds(13'200);
        auto registered = report_of("w1", 2);
        registered.runs.reset();
        registered.silent = true;
        send(registered);
        expect_no_placement_elsewhere();
        m_now += std::chrono::milliseconds(6400);
        send(registered);
        plan_beside_free_worker();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w2"));
    }

    // The same if the sidecar counts the start as resolved.
    void registered_incarnation_does_not_show_that_a_start_is_resolved()
    {
        end_first_unresolved();
        m_now += seconds(12);
        auto registered = report_of("w1", 2);
        registered.runs.reset();
        registered.silent = true;
        send(registered);
        expect_no_placement_elsewhere();
    }

    // A worker is gone for good, and its sidecar goes on. Guards against a task
    // that waits for longer than callers allow after the end of the traffic
    // (14 s, and 3 s with room for it): nothing is up that could execute the
    // start once it is resolved.
    void task_of_a_silent_worker_is_free_when_its_start_is_resolved()
    {
        end_first_unresolved();
        m_now += seconds(12);
        auto silent = report_of("w1");
        silent.silent = true;
        send(silent);
        plan_beside_free_worker();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w2"));
    }

    // The same if the sidecar is gone too: its last call was made soon after
    // its last report.
    void task_of_a_lost_instance_is_free_15_s_after_its_last_report()
    {
        place_first();
        auto const last_report = m_now;
        m_now += std::chrono::milliseconds(6400);
        commit();
        CPPUNIT_ASSERT(!is_placed(attempt(1), "w1"));
        expect_no_placement_elsewhere();
        m_now = last_report + std::chrono::milliseconds(14'700);
        expect_no_placement_elsewhere();
        plan_beside_free_worker();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w2"));
    }

    // A sidecar reports, makes a start call and is killed. Guards against two
    // runs of the task when that report arrives after the first one of the next
    // sidecar, which doesn't know the call.
    void late_report_of_an_earlier_sidecar_resolves_no_start()
    {
        place_first();
        m_now += seconds(1);
        m_sidecar = core::incarnation(2);
        auto report = report_of("w1");
        report.unresolved.is_complete = false;
        report.refused = {attempt(1)};
        send(report);
        commit();
        m_now += std::chrono::milliseconds(100);
        m_sidecar = core::incarnation(1);
        auto late = report_of("w1");
        late.profile.draining = true;
        send(late);
        expect_no_placement_elsewhere();
    }

    // Guards against a gang that runs again after a late end `done` of a
    // member, which stands for all, was acknowledged without being counted.
    void late_end_of_a_gang_is_counted()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        m_table.submit(submission("g", {gang}), queue(), m_now);
        report_free("w1");
        commit();
        auto const first = run_of("g", 0, 0);
        auto const second = run_of("g", 0, 1);
        CPPUNIT_ASSERT(is_placed(first, "w1") && is_placed(second, "w1"));
        auto report = report_of("w1");
        report.refused = {first, second};
        report.unresolved.runs = {first, second};
        m_now += seconds(1);
        send(report);
        commit();
        auto next = report_of("w1", 2);
        next.runs->ended = {{1, second, core::run_end::done, {}}};
        send(next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends(2));
        commit();
        CPPUNIT_ASSERT(state_of("g") == core::workflow_state::completed);
    }

    // Guards against the same while another member of its attempt is being
    // stopped: the end can't be counted before that one has ended.
    void late_end_of_a_gang_waits_for_its_other_members()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        m_table = {};
        m_table.submit(submission("g", {gang}), queue(), m_now);
        core::workflow_progress by_earlier;
        auto const first = run_of("g", 0, 0);
        auto const second = run_of("g", 0, 1);
        by_earlier.placements = {placed(first, "w1"), placed(second, "w2")};
        m_table.progress(by_earlier, m_now);
        report_free("w2");
        auto report = report_of("w1");
        report.refused = {first};
        report.unresolved.runs = {first};
        m_now += seconds(1);
        send(report);
        commit();
        auto next = report_of("w1", 2);
        next.runs->ended = {{1, first, core::run_end::done, {}}};
        send(next);
        plan();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends(2));
        auto other = report_of("w2");
        other.runs->ended = {{1, second, core::run_end::stopped, {}}};
        m_now += seconds(1);
        send(other);
        commit();
        commit();
        CPPUNIT_ASSERT(state_of("g") == core::workflow_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends(2));
    }

    // Guards against a task that is started again after it has failed as often
    // as its queue allows, because the end of a late run was acknowledged
    // without being counted, and against one that is counted twice because the
    // worker lists it until it is acknowledged.
    void late_failure_counts_once()
    {
        end_first_unresolved();
        auto next = report_of("w1", 2);
        next.profile.draining = true;
        next.runs->ended = {{1, attempt(1), core::run_end::failed, {}}};
        send(next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledged_ends(2));
        commit();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, acknowledged_ends(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, failures());
        send(next);
        plan_beside_free_worker();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, failures());
    }

    // A leader has restored its table from a snapshot, which doesn't tell when
    // a long-running task ran last. Guards against one that waits for longer
    // than the nine seconds that callers allow.
    void restored_long_running_task_waits_no_longer()
    {
        auto lasting = stage(1);
        lasting.behaviour.long_running = true;
        m_table.submit(submission("l", {lasting}), queue(), m_now);
        place_first();
        auto const run = run_of("l", 0, 0);
        CPPUNIT_ASSERT(is_placed(run, "w1"));
        m_now += seconds(1);
        auto report = report_of("w1");
        report.runs = running({attempt(1)});
        report.refused = {run};
        report.unresolved.runs = {run};
        send(report);
        commit();
        m_table.restore(m_table.records(), m_table.longest_lease());
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        report.refused = {};
        report.profile.draining = true;
        send(report);
        m_now += std::chrono::milliseconds(6500);
        send(report);
        expect_no_placement_elsewhere();
        m_now += std::chrono::milliseconds(500);
        plan_beside_free_worker();
        CPPUNIT_ASSERT(is_placed(run_of("l", 0, 0, 2), "w2"));
    }

    // A worker executes the late start of a run whose job has ended, so that
    // the table doesn't tell its need. Guards against a start that brings the
    // worker over its capacity while the late run is being stopped.
    void no_start_beside_a_late_run_of_an_ended_job()
    {
        place_first();
        auto report = report_of("w1");
        auto const unknown = run_of("ended", 0, 0);
        report.runs = running({unknown});
        send(report);
        auto const ordered = orders();
        CPPUNIT_ASSERT(ordered.stops == std::vector{unknown});
        CPPUNIT_ASSERT(started(ordered).empty());
        report.runs = running({});
        send(report);
        CPPUNIT_ASSERT(started(orders()) == std::vector{attempt(1)});
    }

private:
    /// Places attempt 2 on w1 after the refusal of attempt 1, of which a start
    /// was open until it counted as too old to be executed.
    void place_second()
    {
        end_first_unresolved();
        m_now += std::chrono::seconds(13);
        send(report_of("w1"));
        commit();
        CPPUNIT_ASSERT(is_placed(attempt(2), "w1"));
    }

    void end_first_unresolved()
    {
        place_first();
        m_now += seconds(1);
        auto report = report_of("w1");
        report.refused = {attempt(1)};
        report.unresolved.runs = {attempt(1)};
        send(report);
        commit();
        CPPUNIT_ASSERT(!is_placed(attempt(1), "w1"));
    }

    std::uint32_t failures() const
    {
        return m_table.find_task(attempt(1).task)->failures;
    }

    std::uint64_t acknowledged_ends(std::uint64_t life)
    {
        return grant(life).acknowledged_ends;
    }

    static core::duration seconds(int count)
    {
        return std::chrono::seconds(count);
    }

    static core::task_run attempt(std::uint32_t number)
    {
        return run_of("a", 0, 0, number);
    }

    /// A report of a sidecar that knows of no unanswered start.
    core::runtime_report report_of(std::string const& worker,
                                   std::uint64_t life = 1)
    {
        core::runtime_report result;
        result.host = core::instance_id("host-" + worker);
        result.sidecar = m_sidecar;
        result.profile = profile(worker, 8000, life);
        result.clock = m_now - at_ms(0);
        result.runs.emplace();
        result.unresolved.is_complete = true;
        return result;
    }

    /// Sends the report with the present clock of its worker.
    void send(core::runtime_report report)
    {
        report.clock = m_now - at_ms(0);
        auto const of = report.profile;
        m_dispatcher->report(m_now, std::move(report));
        m_dispatcher->grant(of.worker, of.life);
    }

    void report_free(std::string const& worker)
    {
        send(report_of(worker));
    }

    /// Places the task on w1, the only worker.
    void place_first()
    {
        report_free("w1");
        commit();
        CPPUNIT_ASSERT(is_placed(attempt(1), "w1"));
    }

    bool is_placed(core::task_run const& run, std::string const& worker) const
    {
        return m_table.held_incarnation(run, core::worker_id(worker))
            .has_value();
    }

    /// Applies what is planned while w2 has room.
    void plan_beside_free_worker()
    {
        m_now += std::chrono::milliseconds(200);
        report_free("w2");
        if (auto const command = plan())
        {
            m_table.progress(*command, m_now);
            m_dispatcher->applied(m_now, *command);
        }
    }

    void expect_no_placement_elsewhere()
    {
        plan_beside_free_worker();
        CPPUNIT_ASSERT(m_table.held_on(core::worker_id("w2")).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_affinity_review_test);

} // namespace turmericswitch::workflow
