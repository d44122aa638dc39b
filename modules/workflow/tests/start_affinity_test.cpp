#include "dispatcher_fixture.hpp"

#include <chrono>
#include <string>

namespace turmericswitch::workflow
{

using namespace testing;

/// Tasks with a start that worker w1 has not answered; w2 has room. Each test
/// guards against a task that is started on w2 while w1 may execute that start,
/// or against one that waits longer than it must.
class start_affinity_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(start_affinity_test);
    CPPUNIT_TEST(no_worker_gets_the_task_while_a_start_is_unresolved);
    CPPUNIT_TEST(long_running_task_goes_to_the_worker_with_the_start);
    CPPUNIT_TEST(other_worker_gets_the_task_when_no_start_can_be_executed);
    CPPUNIT_TEST(run_that_the_sidecar_knows_to_be_resolved_may_go_elsewhere);
    CPPUNIT_TEST(starts_that_the_sidecar_does_not_know_may_be_unresolved);
    CPPUNIT_TEST(report_that_all_starts_are_resolved_frees_the_task);
    CPPUNIT_TEST(worker_under_another_id_frees_the_task);
    CPPUNIT_TEST(task_of_a_listed_run_is_not_started_at_all);
    CPPUNIT_TEST(first_list_of_a_restarted_worker_does_not_free_the_task);
    CPPUNIT_TEST(other_tasks_of_the_stage_do_not_wait);
    CPPUNIT_TEST(gang_waits_as_a_whole);
    CPPUNIT_TEST(long_running_task_does_not_wait_too_long);
    CPPUNIT_TEST(long_running_task_stays_while_its_worker_restarts);
    CPPUNIT_TEST(long_running_task_returns_to_its_restarted_worker);
    CPPUNIT_TEST(long_running_task_waits_for_a_worker_without_a_list);
    CPPUNIT_TEST(new_leader_counts_from_its_election);
    CPPUNIT_TEST(new_leader_counts_long_running_tasks_from_their_last_run);
    CPPUNIT_TEST(task_that_may_have_copies_does_not_wait);
    CPPUNIT_TEST_SUITE_END();

    /// From the end of a run: its last call has a timeout of 1 s.
    static constexpr core::duration longest_wait = std::chrono::seconds(13);
    /// Callers allow a long-running task 9 s without a run.
    static constexpr core::duration longest_long_running_wait =
        std::chrono::seconds(7);

public:
    // Guards against a task that is started after a confirmed stop, which a
    // restart of the worker erases: elsewhere beside the late start, and on the
    // worker itself before it, so that the task begins again after its end.
    void no_worker_gets_the_task_while_a_start_is_unresolved()
    {
        refuse({stage(1)}, {m_run});
        pass(longest_wait - std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!next_worker().empty());
    }

    // Callers allow it too little time without a run.
    void long_running_task_goes_to_the_worker_with_the_start()
    {
        refuse({long_running_stage()}, {m_run});
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), next_worker());
    }

    void other_worker_gets_the_task_when_no_start_can_be_executed()
    {
        refuse({stage(1)}, {m_run});
        m_is_silent = true;
        expect_wait_of(longest_wait);
    }

    // Guards against a wait after every refusal.
    void run_that_the_sidecar_knows_to_be_resolved_may_go_elsewhere()
    {
        refuse({stage(1)}, {});
        m_is_silent = true;
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

    // The sidecar was replaced after the placement. Guards against starts of
    // the earlier one.
    void starts_that_the_sidecar_does_not_know_may_be_unresolved()
    {
        begin({stage(1)});
        m_is_complete = false;
        m_sidecar = core::incarnation(2);
        pass(std::chrono::milliseconds(100));
        end_refused({m_run});
        m_is_silent = true;
        expect_wait_of(longest_wait);
    }

    void report_that_all_starts_are_resolved_frees_the_task()
    {
        refuse({stage(1)}, {m_run});
        m_is_silent = true;
        pass(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        m_unresolved.clear();
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

    // Calls name the id, so the worker that has replaced w1 on its instance
    // rejects them.
    void worker_under_another_id_frees_the_task()
    {
        refuse({stage(1)}, {m_run});
        auto next = report_of("w9");
        next.host = core::instance_id("host");
        next.profile.life = core::incarnation(2);
        next.profile.draining = true;
        m_dispatcher->report(m_now, std::move(next));
        m_now += std::chrono::milliseconds(100);
        m_dispatcher->report(m_now, report_of("w2"));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

    // Guards against a second run beside the late one, also after the time in
    // which late starts are executed.
    void task_of_a_listed_run_is_not_started_at_all()
    {
        refuse({stage(1)}, {m_run});
        m_listed = {m_run};
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        pass(longest_wait);
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        m_listed.clear();
        m_unresolved.clear();
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!next_worker().empty());
    }

    // The list lacks the run, but the start may come after it. Guards against a
    // list of one incarnation that is taken as a proof for the next one.
    void first_list_of_a_restarted_worker_does_not_free_the_task()
    {
        begin({stage(1)});
        m_life = 2;
        m_unresolved = {m_run};
        pass(std::chrono::milliseconds(100));
        commit();
        m_started_at = m_now;
        CPPUNIT_ASSERT(is_unresolved(m_run));
        m_is_silent = true;
        expect_wait_of(longest_wait);
    }

    void other_tasks_of_the_stage_do_not_wait()
    {
        begin({stage(2)});
        m_unresolved = {m_run};
        end_refused({m_run, m_other_run});
        m_is_silent = true;
        pass(std::chrono::milliseconds(100));
        auto const command = plan();
        CPPUNIT_ASSERT(command);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, command->placements.size());
        auto const& placement = command->placements.front();
        CPPUNIT_ASSERT(placement.run.task == m_other_run.task);
        CPPUNIT_ASSERT(placement.worker == core::worker_id("w2"));
    }

    // Guards against members that hold room while one of them must wait.
    void gang_waits_as_a_whole()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        begin({gang});
        m_unresolved = {m_run};
        end_refused({m_run, m_other_run});
        m_is_silent = true;
        expect_wait_of(longest_wait);
    }

    void long_running_task_does_not_wait_too_long()
    {
        refuse({long_running_stage()}, {m_run});
        m_is_silent = true;
        expect_wait_of(longest_long_running_wait);
    }

    // Guards against a second run of a task whose start is seconds old, because
    // the task has waited for longer than callers allow: the worker restarts
    // again and again, and each incarnation may execute the start.
    void long_running_task_stays_while_its_worker_restarts()
    {
        refuse({long_running_stage()}, {m_run});
        m_is_draining = true;
        constexpr core::duration period = std::chrono::milliseconds(1500);
        for (int i = 0; i < 7; ++i)
        {
            ++m_life;
            pass(period);
            CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        }
        // It has been calm for as long as callers wait.
        pass(std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

    // Guards against a wait beside the worker where another attempt does no
    // harm.
    void long_running_task_returns_to_its_restarted_worker()
    {
        refuse({long_running_stage()}, {m_run});
        ++m_life;
        pass(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), next_worker());
    }

    // A worker has restarted, executed the start, and not listed it yet when a
    // leader is elected. Guards against a second run elsewhere, because the new
    // leader has seen no change of the worker.
    void long_running_task_waits_for_a_worker_without_a_list()
    {
        refuse({long_running_stage()}, {m_run});
        m_is_silent = true;
        ++m_life;
        m_has_list = false;
        elect_after(std::chrono::milliseconds(6900));
        pass(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
    }

    // Guards against a new leader that takes the start for too old.
    void new_leader_counts_from_its_election()
    {
        refuse({stage(1)}, {m_run});
        m_is_silent = true;
        elect_after(std::chrono::seconds(5));
        expect_wait_of(longest_wait);
    }

    // Guards against a bound that each election extends.
    void new_leader_counts_long_running_tasks_from_their_last_run()
    {
        refuse({long_running_stage()}, {m_run});
        m_is_silent = true;
        auto const started_at = m_started_at;
        elect_after(std::chrono::seconds(5));
        m_started_at = started_at;
        expect_wait_of(longest_long_running_wait);
    }

    // Copies may run at the same time anyway.
    void task_that_may_have_copies_does_not_wait()
    {
        auto copied = stage(1);
        copied.behaviour.speculative = true;
        begin({copied});
        m_unresolved = {m_run};
        end_refused({m_run});
        CPPUNIT_ASSERT(!is_unresolved(m_run));
        m_is_silent = true;
        pass(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

private:
    static core::stage_description long_running_stage()
    {
        auto result = stage(1);
        result.behaviour.long_running = true;
        return result;
    }

    /// Submits job `a` and places its tasks on w1. Then w2 reports too.
    void begin(std::vector<core::stage_description> stages)
    {
        m_table.submit(submission("a", std::move(stages)), queue(), m_now);
        m_dispatcher->report(m_now, report_of("w1"));
        grant();
        commit();
        CPPUNIT_ASSERT(m_table.is_held(
            m_run, core::worker_id("w1"), core::incarnation(1)));
        report_both();
    }

    /// The sidecar of w1 reports that the runs have not begun and are stopped.
    void end_refused(std::vector<core::task_run> runs)
    {
        auto refusal = report_of("w1");
        refusal.refused = std::move(runs);
        m_dispatcher->report(m_now, std::move(refusal));
        m_started_at = m_now;
        auto const command = plan();
        CPPUNIT_ASSERT(command && command->placements.empty());
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
        CPPUNIT_ASSERT(!m_table.find_task(m_run.task)->placed);
    }

    void refuse(std::vector<core::stage_description> stages,
                std::vector<core::task_run> unresolved)
    {
        begin(std::move(stages));
        m_unresolved = std::move(unresolved);
        end_refused({m_run});
        CPPUNIT_ASSERT_EQUAL(!m_unresolved.empty(), is_unresolved(m_run));
    }

    bool is_unresolved(core::task_run const& run) const
    {
        return m_table.find_task(run.task)->unresolved_on ==
               core::worker_id("w1");
    }

    core::runtime_report report_of(std::string const& worker) const
    {
        bool const is_first = worker == "w1";
        core::runtime_report result;
        result.host = core::instance_id(is_first ? "host" : "host of w2");
        result.sidecar = is_first ? m_sidecar : core::incarnation(1);
        result.profile = profile(worker, 8000, is_first ? m_life : 1);
        result.profile.draining = is_first && m_is_draining;
        result.clock =
            std::chrono::milliseconds(at_work_ms) + (m_now - at_ms(1'000'000));
        result.runs =
            running(is_first ? m_listed : std::vector<core::task_run>());
        result.silent = is_first && m_is_silent;
        if (is_first && !m_has_list)
        {
            result.runs.reset();
        }
        result.unresolved = {is_first ? m_unresolved
                                      : std::vector<core::task_run>(),
                             !is_first || m_is_complete};
        return result;
    }

    void report_both()
    {
        m_dispatcher->report(m_now, report_of("w1"));
        m_dispatcher->report(m_now, report_of("w2"));
        grant(m_life);
        m_dispatcher->grant(core::worker_id("w2"), core::incarnation(1));
    }

    /// Both workers report on while the time passes.
    void pass(core::duration time)
    {
        constexpr core::duration step = std::chrono::milliseconds(100);
        auto const until = m_now + time;
        while (m_now < until)
        {
            m_now = std::min(until, m_now + step);
            report_both();
        }
    }

    /// @return The worker on which a task is placed now; empty if there is
    ///         none. The placement is not committed.
    std::string next_worker()
    {
        auto const command = plan();
        return command && !command->placements.empty()
                   ? command->placements.front().worker.value()
                   : std::string();
    }

    /// Counts from the end of the run or the election.
    void expect_wait_of(core::duration time)
    {
        constexpr core::duration resolution = std::chrono::milliseconds(1);
        pass(m_started_at + time - resolution - m_now);
        CPPUNIT_ASSERT_EQUAL(std::string(), next_worker());
        pass(resolution);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), next_worker());
    }

    void elect_after(core::duration time)
    {
        pass(time);
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        m_started_at = m_now;
        report_both();
    }

    core::task_run m_run = run_of("a", 0, 0);
    core::task_run m_other_run = run_of("a", 0, 1);
    std::vector<core::task_run> m_unresolved;
    std::vector<core::task_run> m_listed;
    bool m_is_complete = true;
    bool m_is_silent = false;
    bool m_has_list = true;
    bool m_is_draining = false;
    std::uint64_t m_life = 1;
    /// When the wait of the task began.
    core::time_point m_started_at;
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_affinity_test);

} // namespace turmericswitch::workflow
