#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// How long the leader waits for a worker, and to which ones it gives tasks
/// meanwhile.
class dispatcher_lease_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(dispatcher_lease_test);
    CPPUNIT_TEST(new_leader_waits_for_the_longest_lease);
    CPPUNIT_TEST(new_leader_waits_no_longer_than_the_recorded_lease);
    CPPUNIT_TEST(new_leader_without_a_record_waits_for_the_longest_lease);
    CPPUNIT_TEST(longer_lease_is_recorded_before_it_is_granted);
    CPPUNIT_TEST(shorter_lease_is_recorded_after_longer_ones_expired);
    CPPUNIT_TEST(runs_of_a_silent_worker_are_lost_after_its_lease);
    CPPUNIT_TEST(reports_with_an_old_clock_do_not_delay_the_loss_of_runs);
    CPPUNIT_TEST(worker_lost_after_its_first_report_has_only_granted_leases);
    CPPUNIT_TEST(lease_is_recorded_apart_from_placements);
    CPPUNIT_TEST(run_on_an_unknown_later_incarnation_is_lost_after_its_lease);
    CPPUNIT_TEST(report_without_a_clock_postpones_no_loss);
    CPPUNIT_TEST(silent_worker_gets_no_tasks);
    CPPUNIT_TEST(report_of_a_silent_worker_postpones_no_loss);
    CPPUNIT_TEST_SUITE_END();

public:
    // The previous leader may have granted a lease just before the election.
    void new_leader_waits_for_the_longest_lease()
    {
        place_on_lost_worker();
        m_now += std::chrono::milliseconds(6300);
        CPPUNIT_ASSERT(!plan());
        m_now += std::chrono::milliseconds(200);
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(plan()->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
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
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::suspected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_lease_test);

} // namespace turmericswitch::workflow
