#include "dispatcher_fixture.hpp"
#include "workflow/agent/worker_runtime.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Reports of a sidecar that arrive after those of its successor, and starts
/// that it may have called.
class replaced_sidecar_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(replaced_sidecar_test);
    CPPUNIT_TEST(late_refusal_does_not_end_a_run_of_the_next_sidecar);
    CPPUNIT_TEST(late_refusal_does_not_end_a_start_of_the_next_sidecar);
    CPPUNIT_TEST(refusal_under_the_granted_token_ends_the_run);
    CPPUNIT_TEST(start_that_the_earlier_sidecar_may_have_called_waits);
    CPPUNIT_TEST(start_that_was_placed_later_does_not_wait);
    CPPUNIT_TEST(long_running_task_does_not_wait);
    CPPUNIT_TEST(start_that_an_earlier_leader_may_have_ordered_waits);
    CPPUNIT_TEST(start_without_an_answer_is_not_ordered_again);
    CPPUNIT_TEST(earlier_release_gets_orders_that_it_can_read);
    CPPUNIT_TEST_SUITE_END();

public:
    // A sidecar is killed while its report of a refused start is under way. The
    // next one gets the order again and starts the run, at once if the task is
    // a long-running one. Guards against the late report, which ends that run
    // for the leader, so that its task is placed a second time.
    void late_refusal_does_not_end_a_run_of_the_next_sidecar()
    {
        place({long_running_stage()});
        change_sidecar();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
        report(running({m_run}));
        report_refused_by_first();
        expect_held();
    }

    // The same before the next sidecar's report lists the run.
    void late_refusal_does_not_end_a_start_of_the_next_sidecar()
    {
        place({long_running_stage()});
        change_sidecar();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
        report_refused_by_first();
        expect_held();
    }

    // Guards against a refused run that is held for ever.
    void refusal_under_the_granted_token_ends_the_run()
    {
        start_one();
        m_first_token = grant().fencing_token;
        report_refused_by_first();
        auto const command = plan();
        CPPUNIT_ASSERT(command);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->ends.size());
    }

    // Guards against a second call of the start: the first one may be executed
    // after it, when the task is done and the worker has restarted.
    void start_that_the_earlier_sidecar_may_have_called_waits()
    {
        start_one();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
        change_sidecar();
        CPPUNIT_ASSERT(started(orders()).empty());
        m_now += longest_call_delay;
        m_knows_all_starts = true;
        report({});
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
    }

    // Guards against a wait after each restart of a sidecar.
    void start_that_was_placed_later_does_not_wait()
    {
        report({});
        change_sidecar();
        start_one();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
    }

    // Callers allow it too little time without a run.
    void long_running_task_does_not_wait()
    {
        place({long_running_stage()});
        change_sidecar();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
    }

    // The new leader doesn't know whether the sidecar of that time has made the
    // call.
    void start_that_an_earlier_leader_may_have_ordered_waits()
    {
        start_one();
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        report({});
        grant();
        CPPUNIT_ASSERT(started(orders()).empty());
        m_knows_all_starts = true;
        report({});
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
    }

    // Guards against orders that the sidecar can't follow, and against a start
    // that waits on when the call is resolved.
    void start_without_an_answer_is_not_ordered_again()
    {
        m_knows_all_starts = true;
        start_one();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
        m_now += std::chrono::seconds(2);
        m_unresolved = {m_run};
        report_open();
        CPPUNIT_ASSERT(started(orders()).empty());
        m_unresolved.clear();
        report_open();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
    }

    // A sidecar that can't read the orders would start nothing.
    void earlier_release_gets_orders_that_it_can_read()
    {
        start_one();
        CPPUNIT_ASSERT(!orders().starts.front().starts.front().single_call);
        m_now += std::chrono::seconds(2);
        m_order_version = core::current_order_version;
        report_open();
        CPPUNIT_ASSERT(orders().starts.front().starts.front().single_call);
    }

private:
    static core::stage_description long_running_stage()
    {
        auto result = stage(1);
        result.behaviour.long_running = true;
        return result;
    }

    /// @return A report of a sidecar whose worker runs nothing.
    static core::runtime_report report_of(core::incarnation sidecar)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = sidecar;
        result.profile = profile("w1");
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
        return result;
    }

    void report_open()
    {
        auto result = report_of(m_sidecar);
        result.unresolved = {m_unresolved, m_knows_all_starts};
        result.order_version = m_order_version;
        m_dispatcher->report(m_now, std::move(result));
        grant();
    }

    void change_sidecar()
    {
        m_first_token = grant().fencing_token;
        m_now += std::chrono::milliseconds(1);
        m_sidecar = core::incarnation(m_first.value() + 1);
        report({});
        grant();
    }

    void report_refused_by_first()
    {
        auto result = report_of(m_first);
        result.refused = {m_run};
        result.refused_under = m_first_token;
        m_dispatcher->report(m_now, std::move(result));
    }

    /// The leader has no reason to place the task again.
    void expect_held()
    {
        auto const command = plan();
        CPPUNIT_ASSERT(!command || command->ends.empty());
        CPPUNIT_ASSERT(m_table.is_held(
            m_run, core::worker_id("w1"), core::incarnation(1)));
    }

    core::task_run m_run = run_of("a", 0, 0);
    core::incarnation m_first = m_sidecar;
    std::uint64_t m_first_token = 0;
    std::vector<core::task_run> m_unresolved;
    std::uint32_t m_order_version = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replaced_sidecar_test);

} // namespace turmericswitch::workflow
