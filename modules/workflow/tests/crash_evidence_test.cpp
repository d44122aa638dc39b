#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Crashes around changes of leader and sidecar, and of workers that stay down
/// for long.
class crash_evidence_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(crash_evidence_test);
    CPPUNIT_TEST(new_leader_counts_a_crash_that_the_sidecar_saw);
    CPPUNIT_TEST(new_leader_counts_a_crash_of_another_worker_on_the_instance);
    CPPUNIT_TEST(runs_that_the_sidecar_saw_at_work_are_not_counted);
    CPPUNIT_TEST(crash_is_acknowledged_after_its_commit);
    CPPUNIT_TEST(loss_of_the_instance_is_suspected_and_fails_no_job);
    CPPUNIT_TEST(worker_down_for_longer_than_its_lease_is_counted_once);
    CPPUNIT_TEST(later_leader_counts_a_suspected_run);
    CPPUNIT_TEST(partition_longer_than_the_lease_leaves_no_suspicion);
    CPPUNIT_TEST(crashes_are_counted_across_leaders_and_long_crashes);
    CPPUNIT_TEST(bystander_that_works_between_crashes_is_not_delayed);
    CPPUNIT_TEST(sidecar_shows_a_new_leader_that_a_bystander_worked);
    CPPUNIT_TEST(loss_that_clears_nothing_is_read_by_earlier_releases);
    CPPUNIT_TEST(isolated_task_waits_until_its_worker_is_steady);
    CPPUNIT_TEST_SUITE_END();

public:
    // The runs of a worker that crashed while there was no leader were lost
    // without a count, so the task crashed further workers.
    void new_leader_counts_a_crash_that_the_sidecar_saw()
    {
        start_one();
        elect({});
        report_crash(2);
        CPPUNIT_ASSERT(only_end() == core::run_end::crashed);
    }

    // Without the evidence a new leader would wait for the end of all leases,
    // because it has never had a report of the crashed worker.
    void new_leader_counts_a_crash_of_another_worker_on_the_instance()
    {
        start_one();
        elect({});
        report_crash(2, {}, "w2");
        CPPUNIT_ASSERT(only_end() == core::run_end::crashed);
    }

    // A new leader has not seen the run at work. If it were counted, crashes
    // caused by others would fail the job.
    void runs_that_the_sidecar_saw_at_work_are_not_counted()
    {
        start_one();
        elect({});
        report_crash(2, {run_of("a", 0, 0)});
        CPPUNIT_ASSERT(only_end() == core::run_end::lost);
    }

    // A sidecar forgets what is acknowledged. If the leader lost its place
    // before the commit, the crash would not be counted.
    void crash_is_acknowledged_after_its_commit()
    {
        start_one();
        report_crash(2);
        CPPUNIT_ASSERT(grant(2).acknowledged_crashes.empty());
        commit();
        core::worker_incarnation const expected{core::worker_id("w1"),
                                                core::incarnation(1)};
        CPPUNIT_ASSERT(grant(2).acknowledged_crashes == std::vector{expected});
    }

    // A task can't restart the instance. Such losses must not fail the job,
    // but a task that is there each time is kept away from others.
    void loss_of_the_instance_is_suspected_and_fails_no_job()
    {
        submit();
        for (std::uint64_t life = 1; life <= 6; ++life)
        {
            place_in(life);
            m_sidecar = core::incarnation(m_sidecar.value() + 1);
            report({}, profile("w1", 8000, life + 1));
            CPPUNIT_ASSERT(only_end() == core::run_end::suspected);
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::queued);
        CPPUNIT_ASSERT(core::possible_crashes(task()) >= 2);
    }

    // The lease ends before the worker is back, so the run is given up before
    // the crash is known.
    void worker_down_for_longer_than_its_lease_is_counted_once()
    {
        start_one();
        expire_lease();
        CPPUNIT_ASSERT(only_end() == core::run_end::suspected);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, task().crashes);
        for (int i = 0; i < 2; ++i)
        {
            report_crash(2);
            commit_all();
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task().crashes);
            CPPUNIT_ASSERT(task().suspected.empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             grant(2).acknowledged_crashes.size());
    }

    void later_leader_counts_a_suspected_run()
    {
        start_one();
        expire_lease();
        commit();
        elect({});
        report_crash(2);
        commit_all();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task().crashes);
    }

    // After a partition the worker shows by its reports that it went on, so
    // its tasks must not be isolated.
    void partition_longer_than_the_lease_leaves_no_suspicion()
    {
        start_one();
        expire_lease();
        commit();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, core::possible_crashes(task()));
        report({}, profile("w1"), at_work_ms + 8000);
        grant();
        commit_all();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, core::possible_crashes(task()));
    }

    // Guards against a task that is started without a delay because some of its
    // crashes were seen by earlier leaders, or after the lease of its run.
    void crashes_are_counted_across_leaders_and_long_crashes()
    {
        m_knows_all_starts = true;
        submit();
        for (std::uint64_t life = 1; life <= crashes_before_delay; ++life)
        {
            place_in(life);
            if (life % 2 == 0)
            {
                expire_lease();
                commit();
            }
            elect({});
            report_crash(life + 1);
            commit_all();
        }
        CPPUNIT_ASSERT_EQUAL(crashes_before_delay, task().crashes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.last_crashes().size());
        CPPUNIT_ASSERT(state_of("a") != core::workflow_state::failed);
    }

    // Four restarts of workers, each in the first moments of a run, were held
    // against a task, although it had worked between them.
    void bystander_that_works_between_crashes_is_not_delayed()
    {
        submit();
        for (std::uint64_t life = 1; life <= 10; ++life)
        {
            place_in(life);
            if (life % 2 == 0)
            {
                list_until_established(life);
            }
            report({}, profile("w1", 8000, life + 1));
            CPPUNIT_ASSERT(
                only_end() ==
                (life % 2 == 0 ? core::run_end::lost : core::run_end::crashed));
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(life % 2),
                                 task().crashes);
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    // Guards against counts that survive a change of leader during the run that
    // clears them.
    void sidecar_shows_a_new_leader_that_a_bystander_worked()
    {
        m_knows_all_starts = true;
        submit();
        for (std::uint64_t life = 1; life <= 10; ++life)
        {
            place_in(life);
            elect({});
            auto const run =
                run_of("a", 0, 0, static_cast<std::uint32_t>(life));
            report_crash(life + 1,
                         life % 2 == 0 ? std::vector{run}
                                       : std::vector<core::task_run>());
            commit_all();
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(life % 2),
                                 task().crashes);
        }
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::running);
    }

    // Earlier releases can't read an end with `established`. Guards against
    // one in every loss of a worker.
    void loss_that_clears_nothing_is_read_by_earlier_releases()
    {
        start_one();
        list_until_established(1);
        report({}, profile("w1", 8000, 2));
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT(command->ends.front().how == core::run_end::lost);
        CPPUNIT_ASSERT(!command->ends.front().established);
    }

    // A worker that goes down and up by turns was held against each task that
    // was started there.
    void isolated_task_waits_until_its_worker_is_steady()
    {
        submit();
        place_in(1);
        report_crash(2);
        commit_all();
        place_in(2);
        for (std::uint64_t life = 3; life <= 9; ++life)
        {
            auto const worker = profile("w1", 8000, life);
            report({}, worker);
            grant(life);
            commit_all();
            report({}, worker, steady_ms - 1);
            grant(life);
            m_now += std::chrono::milliseconds(200);
            CPPUNIT_ASSERT(!plan().has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, task().crashes);
        report({}, profile("w1", 8000, 9), steady_ms);
        m_now += std::chrono::milliseconds(200);
        commit();
        CPPUNIT_ASSERT(task().placed);
    }

private:
    /// Lists the task's run on w1 for `establishment_time`.
    void list_until_established(std::uint64_t life)
    {
        auto const run = run_of("a", 0, 0, static_cast<std::uint32_t>(life));
        auto const worker = profile("w1", 8000, life);
        report(running({run}), worker, steady_ms);
        report(running({run}), worker, steady_ms + 500);
    }

    core::task_record const& task() const
    {
        return *m_table.find_task(run_of("a", 0, 0).task);
    }

    /// Commits the next command, which must have one end.
    core::run_end only_end()
    {
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->ends.size());
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
        return command->ends.front().how;
    }

    void expire_lease()
    {
        m_now += std::chrono::seconds(8);
    }

    /// Commits until nothing but placements is left.
    void commit_all()
    {
        for (int i = 0; i < 3; ++i)
        {
            m_now += std::chrono::milliseconds(200);
            if (auto command = plan())
            {
                command->placements.clear();
                m_table.progress(*command, m_now);
                m_dispatcher->applied(m_now, *command);
            }
        }
    }

    /// The sidecar reports incarnation `life`, and that the one of w1 before it
    /// crashed.
    void report_crash(std::uint64_t life,
                      std::vector<core::task_run> established = {},
                      std::string const& worker = "w1")
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = profile(worker, 8000, life);
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
        result.crashed = {{{core::worker_id("w1"), core::incarnation(life - 1)},
                           std::move(established)}};
        result.unresolved.is_complete = m_knows_all_starts;
        m_dispatcher->report(m_now, std::move(result));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_evidence_test);

} // namespace turmericswitch::workflow
