#include "dispatcher_fixture.hpp"

#include <string>

namespace turmericswitch::workflow
{

using namespace testing;

/// Tasks that waves of sick workers have left isolated wait no longer than
/// their callers allow while there is room for them. At most a quarter of the
/// workers is closed for isolated tasks, each until a report shows the run for
/// some time, so a backlog of them would take minutes.
class waiting_work_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(waiting_work_test);
    CPPUNIT_TEST(backlog_starts_on_workers_that_are_well_again);
    CPPUNIT_TEST(long_running_task_starts_beside_an_unresolved_isolated_one);
    CPPUNIT_TEST(often_crashed_long_running_task_starts_within_its_bound);
    CPPUNIT_TEST(task_whose_next_crash_fails_its_job_stays_isolated);
    CPPUNIT_TEST(task_that_stays_isolated_starts_on_a_worker_of_its_own);
    CPPUNIT_TEST(overdue_task_waits_for_a_steady_worker);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        dispatcher_fixture::setUp();
        m_clock_ms = at_work_ms;
        m_jobs = 0;
        m_workers.clear();
        m_stage = stage(1);
    }

    // 300 tasks were refused, suspected and crashed in turn. Guards against
    // tasks that wait beside room on 11 workers that are well again.
    void backlog_starts_on_workers_that_are_well_again()
    {
        constexpr std::size_t jobs = 300;
        for (std::size_t i = 0; i < jobs; ++i)
        {
            add_job("j" + std::to_string(i),
                    {core::run_end::refused,
                     core::run_end::suspected,
                     core::run_end::crashed});
        }
        add_workers(11, 32'000);
        plan_for(std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting());
    }

    // One worker never answers the start of another isolated task, and six
    // workers allow only one to be closed. Guards against long-running tasks
    // that wait for that answer beside room on the others.
    void long_running_task_starts_beside_an_unresolved_isolated_one()
    {
        hold_isolated_on_unanswering_worker();
        add_long_running(3);
        plan_for(std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting());
    }

    // The same with tasks under which so many workers have crashed that they
    // can't share one. Callers allow a long-running task nine seconds without a
    // run; the delay after a crash takes three of them.
    void often_crashed_long_running_task_starts_within_its_bound()
    {
        hold_isolated_on_unanswering_worker();
        add_long_running(crashes_before_delay + 1);
        plan_for(std::chrono::seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting());
    }

    // Guards against a job that is failed because its task shared a worker with
    // one that crashed it.
    void task_whose_next_crash_fails_its_job_stays_isolated()
    {
        add_workers(2, 4000);
        hold("w0");
        hold("w1");
        add_job("a",
                std::vector<core::run_end>(crashes_before_delay - 1,
                                           core::run_end::crashed));
        plan_for(std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting());
    }

    // Such a task can't share a worker. Guards against one that waits for the
    // answer of one worker while others have been up for two seconds and have
    // no new runs.
    void task_that_stays_isolated_starts_on_a_worker_of_its_own()
    {
        add_job("a",
                std::vector<core::run_end>(crashes_before_delay - 1,
                                           core::run_end::crashed));
        hold_isolated_on_unanswering_worker();
        plan_for(std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting());
    }

    // The crash of a worker that has just restarted says nothing about the
    // task. Guards against counts that a worker adds which goes down and up.
    void overdue_task_waits_for_a_steady_worker()
    {
        add_job("a", {core::run_end::crashed, core::run_end::crashed});
        m_now += std::chrono::seconds(10);
        m_workers.push_back(profile("w0"));
        report_all();
        m_now += std::chrono::milliseconds(200);
        plan_and_commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waiting());
    }

private:
    static constexpr std::int64_t step_ms = 100;

    static inline std::string const held_prefix = "held-";

    /// Submits a job of one task whose runs under an earlier leader have ended
    /// like this.
    void add_job(std::string const& id, std::vector<core::run_end> const& ends)
    {
        m_table.submit(submission(id, {m_stage}), queue(), m_now);
        std::uint32_t attempt = 0;
        for (auto const how : ends)
        {
            auto const run = run_of(id, 0, 0, ++attempt);
            core::workflow_progress placing;
            placing.placements = {placed(run, "gone", attempt)};
            m_table.progress(placing, m_now);
            core::workflow_progress ending;
            ending.ends = {ended(run, how, "gone", attempt)};
            m_table.progress(ending, m_now);
        }
        ++m_jobs;
    }

    /// Adds four long-running jobs of one task with this many counted crashes.
    void add_long_running(std::uint32_t crashes)
    {
        m_stage.behaviour.long_running = true;
        for (auto const* const id : {"a", "b", "c", "d"})
        {
            add_job(
                id,
                std::vector<core::run_end>(crashes, core::run_end::crashed));
        }
    }

    /// Adds six steady workers of four cores. On one of them an isolated task
    /// is placed that it never lists.
    void hold_isolated_on_unanswering_worker()
    {
        add_workers(6, 4000);
        hold("w5", {core::run_end::crashed, core::run_end::crashed});
    }

    /// Places a task on the worker that the worker never lists.
    void hold(std::string const& worker,
              std::vector<core::run_end> const& ends_before = {})
    {
        auto const id = held_prefix + worker;
        add_job(id, ends_before);
        auto const attempt = static_cast<std::uint32_t>(ends_before.size()) + 1;
        core::workflow_progress command;
        command.placements = {placed(run_of(id, 0, 0, attempt), worker)};
        m_table.progress(command, m_now);
    }

    /// Adds workers that this leader has seen up for long enough.
    void add_workers(int count, std::int64_t millicores)
    {
        for (int i = 0; i < count; ++i)
        {
            auto worker = profile("w" + std::to_string(i), millicores);
            worker.capacity.memory = core::byte_count(std::int64_t{1} << 40);
            m_workers.push_back(worker);
        }
        report_all();
        m_now += std::chrono::milliseconds(steady_ms - at_work_ms);
        m_clock_ms = steady_ms;
        report_all();
    }

    /// Each worker lists the runs that are placed there, but for those of
    /// `hold`, and its lease is renewed.
    void report_all()
    {
        for (auto const& worker : m_workers)
        {
            std::vector<core::task_run> runs;
            for (auto const& held : m_table.held_on(worker.worker))
            {
                if (!held.run.task.workflow.value().starts_with(held_prefix))
                {
                    runs.push_back(held.run);
                }
            }
            report(running(runs), worker, m_clock_ms);
            m_dispatcher->grant(worker.worker, worker.life);
        }
    }

    void plan_and_commit()
    {
        if (auto const command = plan())
        {
            m_table.progress(*command, m_now);
            m_dispatcher->applied(m_now, *command);
        }
    }

    void plan_for(core::duration time)
    {
        auto const end = m_now + time;
        while (m_now < end)
        {
            m_now += std::chrono::milliseconds(step_ms);
            m_clock_ms += step_ms;
            report_all();
            plan_and_commit();
        }
    }

    /// @return Number of jobs whose task is not placed.
    std::size_t waiting() const
    {
        std::size_t placed = 0;
        for (auto const& worker : m_workers)
        {
            placed += m_table.held_on(worker.worker).size();
        }
        return m_jobs - placed;
    }

    std::vector<core::worker_profile> m_workers;
    std::int64_t m_clock_ms = 0;
    core::stage_description m_stage;
    std::size_t m_jobs = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_work_test);

} // namespace turmericswitch::workflow
