#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// The end `done` of a run that was taken for ended before: its worker has
/// executed an unanswered start late.
class late_end_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(late_end_test);
    CPPUNIT_TEST(late_end_completes_the_job);
    CPPUNIT_TEST(late_end_is_applied_once);
    CPPUNIT_TEST(late_end_of_a_placed_task_is_ignored);
    CPPUNIT_TEST(late_end_of_an_unknown_attempt_is_ignored);
    CPPUNIT_TEST(only_late_ends_done_count);
    CPPUNIT_TEST(late_end_of_a_long_running_task_is_ignored);
    CPPUNIT_TEST(late_end_of_a_gang_that_is_placed_is_ignored);
    CPPUNIT_TEST(late_end_is_acknowledged_only_after_its_commit);
    CPPUNIT_TEST(late_end_that_is_ignored_is_acknowledged);
    CPPUNIT_TEST(late_end_is_planned_again_after_a_lost_commit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a task that was done.
    void late_end_completes_the_job()
    {
        end_run(stage(1));
        CPPUNIT_ASSERT(m_table.accepts_late_end(m_run));
        apply_late_end(core::run_end::done);
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
    }

    // Guards against a job of two tasks that one of them completes.
    void late_end_is_applied_once()
    {
        end_run(stage(2));
        apply_late_end(core::run_end::done);
        CPPUNIT_ASSERT(!m_table.accepts_late_end(m_run));
        apply_late_end(core::run_end::done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_table.ignored_parts());
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    // Guards against a next stage that starts beside the task's present run.
    void late_end_of_a_placed_task_is_ignored()
    {
        end_run(stage(1));
        core::workflow_progress again;
        again.placements = {placed(run_of("a", 0, 0, 2), "w2")};
        m_table.progress(again, m_now);
        expect_ignored(core::run_end::done);
    }

    // Guards against an end of a run that was never placed.
    void late_end_of_an_unknown_attempt_is_ignored()
    {
        end_run(stage(1));
        CPPUNIT_ASSERT(!m_table.accepts_late_end(run_of("a", 0, 0, 2)));
        CPPUNIT_ASSERT(!m_table.accepts_late_end(run_of("b", 0, 0)));
        CPPUNIT_ASSERT(!m_table.accepts_late_end(run_of("a", 0, 7)));
    }

    // Guards against a task that counts as done because its run was stopped.
    void only_late_ends_done_count()
    {
        end_run(stage(1));
        expect_ignored(core::run_end::stopped);
        CPPUNIT_ASSERT(m_table.accepts_late_end(m_run));
    }

    // Guards against a long-running task that isn't started again.
    void late_end_of_a_long_running_task_is_ignored()
    {
        auto lasting = stage(1);
        lasting.behaviour.long_running = true;
        end_run(lasting);
        expect_ignored(core::run_end::done);
    }

    // Guards against a gang that is done while its next attempt runs.
    void late_end_of_a_gang_that_is_placed_is_ignored()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        end_run(gang);
        core::workflow_progress again;
        again.placements = {placed(run_of("a", 0, 1, 2), "w2")};
        m_table.progress(again, m_now);
        expect_ignored(core::run_end::done);
    }

    // Guards against an end that the worker drops before it has counted.
    void late_end_is_acknowledged_only_after_its_commit()
    {
        end_run(stage(1));
        report_late_end();
        CPPUNIT_ASSERT(
            m_dispatcher->has_uncommitted_ends(core::worker_id("w1")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, grant().acknowledged_ends);
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant().acknowledged_ends);
        last_event(core::event_code::late_end_counted);
    }

    // Guards against an end that can't count and blocks all later ones: the
    // next run has begun, so it isn't stopped.
    void late_end_that_is_ignored_is_acknowledged()
    {
        auto const next = run_of("a", 0, 0, 2);
        end_run(stage(1));
        core::workflow_progress again;
        again.placements = {placed(next, "w2")};
        m_table.progress(again, m_now);
        report(running({next}), profile("w2"));
        report_late_end();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant().acknowledged_ends);
    }

    // Guards against an end that is forgotten when its command isn't committed.
    void late_end_is_planned_again_after_a_lost_commit()
    {
        end_run(stage(1));
        report_late_end();
        auto const lost = plan();
        CPPUNIT_ASSERT(lost && lost->late_ends.size() == 1);
        m_dispatcher->rejected(*lost);
        auto const repeated = plan();
        CPPUNIT_ASSERT(repeated && repeated->late_ends == lost->late_ends);
    }

private:
    /// The first task of job `a` was placed on w1, and its run is taken for
    /// ended.
    void end_run(core::stage_description const& only)
    {
        m_table.submit(submission("a", {only}), queue(), m_now);
        core::workflow_progress command;
        command.placements = {placed(m_run)};
        m_table.progress(command, m_now);
        command = {};
        command.ends = {ended(m_run, core::run_end::refused)};
        m_table.progress(command, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_table.ignored_parts());
    }

    void apply_late_end(core::run_end how)
    {
        core::workflow_progress command;
        command.late_ends = {ended(m_run, how)};
        m_table.progress(command, m_now);
    }

    void expect_ignored(core::run_end how)
    {
        apply_late_end(how);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_table.ignored_parts());
        CPPUNIT_ASSERT(!m_table.find_task(m_run.task)->done);
    }

    void report_late_end()
    {
        core::worker_runs runs;
        runs.ended = {{1, m_run, core::run_end::done, {}}};
        // No other start is left that would withhold the acknowledgement.
        m_knows_all_starts = true;
        report(runs);
    }

    core::task_run m_run = run_of("a", 0, 0);
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_end_test);

} // namespace turmericswitch::workflow
