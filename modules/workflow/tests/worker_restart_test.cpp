#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Workers that restart under their id. A start that was sent to the earlier
/// incarnation may be executed by the next one, so the leader must not place
/// the task again before it knows.
class worker_restart_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(worker_restart_test);
    CPPUNIT_TEST(registration_alone_ends_no_run_of_the_earlier_incarnation);
    CPPUNIT_TEST(run_that_the_next_incarnation_executes_is_stopped_first);
    CPPUNIT_TEST(end_on_the_next_incarnation_counts_for_the_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of one task: the start reached the worker after
    // it had restarted, and the leader, which saw only the registration of the
    // next incarnation, placed the task on another worker.
    void registration_alone_ends_no_run_of_the_earlier_incarnation()
    {
        start_one();
        report_registration(2);
        CPPUNIT_ASSERT(!ends_a_run());
        report_lists({}, 2);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // Guards against two runs of one task when the next incarnation lists the
    // run: its task may be placed again only once the run has ended there.
    void run_that_the_next_incarnation_executes_is_stopped_first()
    {
        start_one();
        auto const run = run_of("a", 0, 0);
        report_lists(running({run}), 2);
        CPPUNIT_ASSERT(!ends_a_run());
        auto const ordered = m_dispatcher->take_orders(
            m_now, core::worker_id("w1"), core::incarnation(2));
        CPPUNIT_ASSERT(ordered.stops == std::vector{run});
        report_lists(ended(run, core::run_end::stopped), 2);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // Guards against a second execution of a task whose run was done by the
    // next incarnation before it could be stopped.
    void end_on_the_next_incarnation_counts_for_the_run()
    {
        start_one();
        report_lists(ended(run_of("a", 0, 0), core::run_end::done), 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, grant(2).acknowledged_ends);
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant(2).acknowledged_ends);
    }

private:
    static core::worker_runs ended(core::task_run const& run, core::run_end how)
    {
        core::worker_runs result;
        result.ended.push_back({1, run, how, {}});
        return result;
    }

    /// Reports an incarnation that has answered no call yet.
    void report_registration(std::uint64_t life)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = profile("w1", 8000, life);
        m_dispatcher->report(m_now, std::move(result));
    }

    void report_lists(core::worker_runs runs, std::uint64_t life)
    {
        report(std::move(runs), profile("w1", 8000, life));
        grant(life);
    }

    bool ends_a_run()
    {
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        return command && !command->ends.empty();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_restart_test);

} // namespace turmericswitch::workflow
