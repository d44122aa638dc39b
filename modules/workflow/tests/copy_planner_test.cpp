#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Copies of runs, decided by the dispatcher and kept in the table.
class copy_planner_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(copy_planner_test);
    CPPUNIT_TEST(run_of_a_silent_worker_gets_one_copy_at_once);
    CPPUNIT_TEST(stages_that_may_not_be_copied_get_none);
    CPPUNIT_TEST(copies_are_off_by_default);
    CPPUNIT_TEST(waiting_tasks_come_before_copies);
    CPPUNIT_TEST(first_done_counts_and_the_other_run_is_stopped);
    CPPUNIT_TEST(failures_of_both_runs_count);
    CPPUNIT_TEST(task_is_placed_again_after_both_runs_ended);
    CPPUNIT_TEST(new_leader_copies_runs_of_workers_that_stay_away);
    CPPUNIT_TEST(run_far_behind_its_kind_gets_a_copy);
    CPPUNIT_TEST(task_that_may_crash_workers_gets_no_copy);
    CPPUNIT_TEST(task_with_its_last_attempt_gets_no_copy);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_copies.enabled = true;
        dispatcher_fixture::setUp();
    }

    // A short stage has half of its work as slack, so its task can't wait for
    // the end of the lease.
    void run_of_a_silent_worker_gets_one_copy_at_once()
    {
        start_copied(speculative(1));
        auto const table_copy = *m_table.find_task(m_first.task);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), table_copy.worker.value());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                             table_copy.earlier->worker.value());
        CPPUNIT_ASSERT(has_field(last_event(core::event_code::copy_decided),
                                 core::text_field("why", "silent")));
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(!plan());
        workflow_table other;
        other.restore(m_table.records(), {});
        CPPUNIT_ASSERT(other.holds() == m_table.holds());
    }

    // Two runs of these would not be two attempts at the same result.
    void stages_that_may_not_be_copied_get_none()
    {
        auto gang = speculative(1);
        gang.behaviour.gang = true;
        auto service = speculative(1);
        service.behaviour.long_running = true;
        place({stage(1), gang, service});
        fall_silent();
        CPPUNIT_ASSERT(!plan());
        core::workflow_progress forced;
        forced.placements = {placed(run_of("a", 0, 0, 2), "w2")};
        forced.placements.front().is_copy = true;
        m_table.progress(forced, m_now);
        CPPUNIT_ASSERT(m_table.held_on(core::worker_id("w2")).empty());
    }

    // Earlier deployments must be served as before.
    void copies_are_off_by_default()
    {
        m_copies = {};
        dispatcher_fixture::setUp();
        place({speculative(1)});
        fall_silent();
        CPPUNIT_ASSERT(!plan());
    }

    void waiting_tasks_come_before_copies()
    {
        place({speculative(1)});
        m_table.submit(submission("b", {stage(8)}), queue(), m_now);
        fall_silent();
        auto const command = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, command->placements.size());
        for (auto const& each : command->placements)
        {
            CPPUNIT_ASSERT(!each.is_copy);
        }
    }

    // The remaining run must give its capacity back, and its end, whatever it
    // is, must not change the task.
    void first_done_counts_and_the_other_run_is_stopped()
    {
        start_copied(speculative(1), {stage(1)});
        end_run("w2", m_copy, core::run_end::done);
        CPPUNIT_ASSERT(m_table.find_task(m_first.task)->done);
        CPPUNIT_ASSERT(m_table.is_held(
            m_first, core::worker_id("w1"), core::incarnation(1)));
        CPPUNIT_ASSERT(orders().stops == std::vector{m_first});
        end_run("w1", m_first, core::run_end::failed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0},
                             m_table.find_task(m_first.task)->failures);
        CPPUNIT_ASSERT(!m_table.is_held(
            m_first, core::worker_id("w1"), core::incarnation(1)));
    }

    // A job with one attempt left must not get two more.
    void failures_of_both_runs_count()
    {
        start_copied(speculative(1));
        end_run("w2", m_copy, core::run_end::failed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                             m_table.find_task(m_first.task)->failures);
        end_run("w1", m_first, core::run_end::failed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2},
                             m_table.find_task(m_first.task)->failures);
    }

    // While one run is held, a third one would be too many; its attempt number
    // must differ from those of both runs.
    void task_is_placed_again_after_both_runs_ended()
    {
        start_copied(speculative(1));
        report({}, profile("w1"), at_work_ms + 300);
        grant();
        auto const end = [](auto const& run, std::string const& worker)
        { return ended(run, core::run_end::stopped, worker); };
        core::workflow_progress command;
        command.ends = {end(m_copy, "w2")};
        m_table.progress(command, m_now);
        CPPUNIT_ASSERT(!plan());
        command.ends = {end(m_first, "w1")};
        m_table.progress(command, m_now);
        auto const again = plan();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3},
                             again->placements.front().run.attempt.value());
        CPPUNIT_ASSERT(!again->placements.front().is_copy);
    }

    // Workers report to a new leader within a second; a run on one that does
    // not is as good as silent. The copy of an earlier leader is in the table.
    void new_leader_copies_runs_of_workers_that_stay_away()
    {
        place({speculative(1)});
        elect({});
        m_now += std::chrono::seconds(1);
        add_second();
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(600);
        CPPUNIT_ASSERT(plan()->placements.front().is_copy);
    }

    // Other runs of the kind took 1 s each.
    void run_far_behind_its_kind_gets_a_copy()
    {
        place({speculative(15, 500)});
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::seconds(1);
        core::workflow_progress command;
        for (std::uint32_t i = 1; i < 15; ++i)
        {
            command.ends.push_back(
                ended(run_of("a", 0, i), core::run_end::done));
        }
        m_table.progress(command, m_now);
        m_dispatcher->applied(m_now, command);
        auto const decided_after = [this](core::duration wait)
        {
            m_now += wait;
            report(running({m_first}), profile("w1"), clock());
            grant();
            add_second();
            return plan();
        };
        CPPUNIT_ASSERT(!decided_after(std::chrono::milliseconds(800)));
        auto const late = decided_after(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"),
                             late->placements.front().worker.value());
        CPPUNIT_ASSERT(has_field(last_event(core::event_code::copy_decided),
                                 core::text_field("why", "behind")));
    }

    // A copy would take a second worker down.
    void task_that_may_crash_workers_gets_no_copy()
    {
        submit_speculative();
        place_in(1);
        report({}, profile("w1", 8000, 2));
        commit();
        place_in(2);
        add_second();
        report_silent(2);
        m_now += std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(!plan());
    }

    // When one run has failed for the last time, the start of the other could
    // still arrive.
    void task_with_its_last_attempt_gets_no_copy()
    {
        m_table.submit(submission("a", {speculative(1)}), queue(2), m_now);
        report({});
        grant();
        commit();
        end_run("w1", m_first, core::run_end::failed);
        commit();
        CPPUNIT_ASSERT(m_table.is_held(
            m_copy, core::worker_id("w1"), core::incarnation(1)));
        fall_silent();
        CPPUNIT_ASSERT(!plan());
    }

private:
    static core::stage_description speculative(std::uint32_t tasks,
                                               std::int64_t millicores = 1000)
    {
        auto result = stage(tasks, millicores);
        result.behaviour.speculative = true;
        return result;
    }

    void submit_speculative()
    {
        m_table.submit(submission("a", {speculative(1)}), queue(), m_now);
    }

    /// The workers' clock, which goes with the leader's.
    std::int64_t clock() const
    {
        return m_now.time_since_epoch() / std::chrono::milliseconds(1);
    }

    /// Reports and grants a second worker, w2.
    void add_second()
    {
        report({}, profile("w2"), clock());
        m_dispatcher->grant(core::worker_id("w2"), core::incarnation(1));
    }

    /// The second worker comes up, and w1 does not answer its sidecar.
    void fall_silent()
    {
        add_second();
        report_silent();
        m_now += std::chrono::milliseconds(100);
    }

    /// Places job `a` on w1, which falls silent, and its first task on w2 too.
    void start_copied(core::stage_description first,
                      std::vector<core::stage_description> more = {})
    {
        more.insert(more.begin(), std::move(first));
        place(std::move(more));
        fall_silent();
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->placements.size());
        auto expected = placed(m_copy, "w2");
        expected.is_copy = true;
        CPPUNIT_ASSERT(command->placements.front() == expected);
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
    }

    void end_run(std::string const& worker,
                 core::task_run const& run,
                 core::run_end how)
    {
        core::worker_runs runs;
        runs.ended = {{1, run, how, {}}};
        report(runs, profile(worker));
        commit();
    }

    core::task_run m_first = run_of("a", 0, 0);
    core::task_run m_copy = run_of("a", 0, 0, 2);
};

CPPUNIT_TEST_SUITE_REGISTRATION(copy_planner_test);

} // namespace turmericswitch::workflow
