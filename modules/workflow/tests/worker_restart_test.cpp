#include "dispatcher_fixture.hpp"
#include "workflow/agent/fencing_token.hpp"

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
    CPPUNIT_TEST(token_rises_with_each_incarnation_and_leader);
    CPPUNIT_TEST(run_is_given_up_if_no_list_of_the_next_incarnation_comes);
    CPPUNIT_TEST(restarts_without_a_list_do_not_hold_the_run_for_ever);
    CPPUNIT_TEST(late_lease_of_the_next_incarnation_is_waited_for);
    CPPUNIT_TEST(new_leader_waits_for_the_list_of_the_next_incarnation);
    CPPUNIT_TEST(new_leader_waits_for_the_late_lease_of_a_listed_run);
    CPPUNIT_TEST(token_rises_with_each_sidecar);
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
            m_now, core::worker_id("w1"), core::incarnation(2), m_config);
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

    // Guards against calls to an earlier incarnation, or of an earlier leader,
    // that a worker accepts because its token has not risen.
    void token_rises_with_each_incarnation_and_leader()
    {
        report({});
        auto const first = grant().fencing_token;
        report({}, profile("w1", 8000, 2));
        auto const second = grant(2).fencing_token;
        CPPUNIT_ASSERT(first < second);
        CPPUNIT_ASSERT(next_fencing_token(first) < second);
        CPPUNIT_ASSERT_EQUAL(second,
                             m_dispatcher
                                 ->take_orders(m_now,
                                               core::worker_id("w1"),
                                               core::incarnation(2),
                                               m_config)
                                 .fencing_token);
        CPPUNIT_ASSERT(second < fencing_token(core::term(8), 0));
        CPPUNIT_ASSERT(grant(1).fencing_token < second);
    }

    // Guards against a task that waits for ever because its worker restarts and
    // is never heard of again, and against one that is placed while a late
    // start may hold a lease.
    void run_is_given_up_if_no_list_of_the_next_incarnation_comes()
    {
        start_one();
        report_registration(2);
        m_now += std::chrono::seconds(6);
        CPPUNIT_ASSERT(!ends_a_run());
        m_now += std::chrono::milliseconds(400);
        CPPUNIT_ASSERT(ends_a_run());
    }

    void restarts_without_a_list_do_not_hold_the_run_for_ever()
    {
        start_one();
        report_registration(2);
        m_now += std::chrono::seconds(5);
        report_registration(3);
        m_now += std::chrono::milliseconds(1400);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // The deadline of a late call is on the clock of the earlier incarnation,
    // so it may grant the longest lease that the worker accepts. Guards against
    // a task that is placed again while that lease lasts.
    void late_lease_of_the_next_incarnation_is_waited_for()
    {
        elect({std::chrono::seconds(10), std::chrono::seconds(6)});
        record_lease(std::chrono::seconds(6));
        start_one();
        auto const run = run_of("a", 0, 0);
        report_lists(running({run}), 2);
        m_now += std::chrono::seconds(9);
        CPPUNIT_ASSERT(!ends_a_run());
        m_now += std::chrono::milliseconds(1300);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // A leader that is elected between the restart and the first list has seen
    // neither incarnation.
    void new_leader_waits_for_the_list_of_the_next_incarnation()
    {
        start_one();
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        report_registration(2);
        CPPUNIT_ASSERT(!ends_a_run());
        report_lists({}, 2);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // The first list of the next incarnation has the run, and the worker is
    // silent from then on. Guards against a leader that gives the run up when
    // the leases of earlier leaders have expired: the late start was executed
    // after the election, and may hold the longest lease.
    void new_leader_waits_for_the_late_lease_of_a_listed_run()
    {
        start_one();
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        m_now += std::chrono::seconds(5);
        report(running({run_of("a", 0, 0)}), profile("w1", 8000, 2));
        m_now += std::chrono::seconds(5);
        CPPUNIT_ASSERT(!ends_a_run());
        m_now += std::chrono::milliseconds(1400);
        CPPUNIT_ASSERT(ends_a_run());
    }

    // A restarted sidecar does not know which starts of the earlier one have no
    // answer yet. Guards against such a start that the worker executes after it
    // has refused a repeated one, which the sidecar reports as certain.
    void token_rises_with_each_sidecar()
    {
        report({});
        auto const first = grant().fencing_token;
        m_sidecar = core::incarnation(2);
        report({});
        auto const second = grant().fencing_token;
        CPPUNIT_ASSERT(next_fencing_token(first) < second);
        CPPUNIT_ASSERT_EQUAL(second, orders().fencing_token);
        report({});
        CPPUNIT_ASSERT_EQUAL(second, grant().fencing_token);
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
