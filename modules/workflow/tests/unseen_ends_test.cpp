#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Runs that have ended on their worker in a way that nobody saw.
class unseen_ends_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(unseen_ends_test);
    CPPUNIT_TEST(task_is_not_started_again);
    CPPUNIT_TEST(grant_waits_for_the_commit);
    CPPUNIT_TEST(end_on_a_successor_counts);
    CPPUNIT_TEST(long_running_task_is_started_again);
    CPPUNIT_TEST(gang_follows_its_other_members);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a task that was done: the worker had
    // dropped the end before it listed it.
    void task_is_not_started_again()
    {
        start_one();
        report_unseen({run_of("a", 0, 0)});
        CPPUNIT_ASSERT(started(orders()).empty());
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        auto const& event = last_event(core::event_code::run_ended);
        CPPUNIT_ASSERT(has_field(event, core::number_field("assumed", 1)));
    }

    // Guards against a sidecar that forgets the run before the leader has
    // committed its end.
    void grant_waits_for_the_commit()
    {
        start_one();
        auto const run = run_of("a", 0, 0);
        report_unseen({run});
        CPPUNIT_ASSERT(
            m_dispatcher->has_uncommitted_ends(core::worker_id("w1")));
        CPPUNIT_ASSERT(grant().acknowledged_refusals.empty());
        commit();
        CPPUNIT_ASSERT(grant().acknowledged_refusals == std::vector{run});
    }

    // A start that was meant for the earlier incarnation. Guards against the
    // conclusion that a run had no effect because the next incarnation, which
    // had begun it, doesn't list it any more.
    void end_on_a_successor_counts()
    {
        start_one();
        auto const run = run_of("a", 0, 0);
        report(running({run}), profile("w1", 8000, 2));
        report_unseen({run}, 2);
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
    }

    // Guards against a long-running task that is never started again.
    void long_running_task_is_started_again()
    {
        auto lasting = stage(1);
        lasting.behaviour.long_running = true;
        place({lasting});
        report_unseen({run_of("a", 0, 0)});
        commit();
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
        CPPUNIT_ASSERT(m_table.is_held(
            run_of("a", 0, 0, 2), core::worker_id("w1"), core::incarnation(1)));
    }

    // The members of a gang end together. Guards against a gang that counts as
    // done although another member was seen to fail.
    void gang_follows_its_other_members()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        place({gang});
        report_unseen({run_of("a", 0, 0)});
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
        CPPUNIT_ASSERT(!m_table.find_task(run_of("a", 0, 0).task)->done);
        report_unseen({run_of("a", 0, 1)});
        commit();
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
    }

private:
    void report_unseen(std::vector<core::task_run> runs, std::uint64_t life = 1)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = profile("w1", 8000, life);
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
        result.ended_unseen = std::move(runs);
        m_dispatcher->report(m_now, std::move(result));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unseen_ends_test);

} // namespace turmericswitch::workflow
