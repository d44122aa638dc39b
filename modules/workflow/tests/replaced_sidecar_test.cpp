#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Reports of a sidecar that arrive after those of its successor.
class replaced_sidecar_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(replaced_sidecar_test);
    CPPUNIT_TEST(late_refusal_does_not_end_a_run_of_the_next_sidecar);
    CPPUNIT_TEST(late_refusal_does_not_end_a_start_of_the_next_sidecar);
    CPPUNIT_TEST(refusal_under_the_granted_token_ends_the_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // A sidecar is killed while its report of a refused start is under way. The
    // next one gets the order again and starts the run. Guards against the late
    // report, which ends that run for the leader, so that its task is placed a
    // second time.
    void late_refusal_does_not_end_a_run_of_the_next_sidecar()
    {
        start_one();
        change_sidecar();
        CPPUNIT_ASSERT(started(orders()) == std::vector{m_run});
        report(running({m_run}));
        report_refused_by_first();
        expect_held();
    }

    // The same before the next sidecar's report lists the run.
    void late_refusal_does_not_end_a_start_of_the_next_sidecar()
    {
        start_one();
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

private:
    void change_sidecar()
    {
        m_first_token = grant().fencing_token;
        m_sidecar = core::incarnation(m_first.value() + 1);
        report({});
        grant();
    }

    void report_refused_by_first()
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_first;
        result.profile = profile("w1");
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(replaced_sidecar_test);

} // namespace turmericswitch::workflow
