#include "core/config/queue_address.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;
using core::run_end;
using core::workflow_state;

class workflow_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workflow_table_test);
    CPPUNIT_TEST(resubmission_adds_no_workflow);
    CPPUNIT_TEST(placed_workflow_waits_until_a_task_has_begun);
    CPPUNIT_TEST(end_that_shows_no_run_begins_no_workflow);
    CPPUNIT_TEST(waiting_workflows_are_counted_by_queue);
    CPPUNIT_TEST(id_of_another_queue_is_rejected);
    CPPUNIT_TEST(stage_is_placed_only_after_its_dependencies);
    CPPUNIT_TEST(placed_task_is_not_placed_again);
    CPPUNIT_TEST(end_of_another_incarnation_is_ignored);
    CPPUNIT_TEST(only_failures_count_against_the_attempts);
    CPPUNIT_TEST(members_that_fail_in_one_attempt_of_a_gang_count_once);
    CPPUNIT_TEST(late_failure_in_a_failed_attempt_of_a_gang_is_not_counted);
    CPPUNIT_TEST(failed_attempts_of_a_gang_are_in_the_snapshot);
    CPPUNIT_TEST(long_running_task_may_fail_any_number_of_times);
    CPPUNIT_TEST(ends_that_show_no_survival_keep_the_counted_crashes);
    CPPUNIT_TEST(crashes_never_fail_a_workflow);
    CPPUNIT_TEST(time_of_the_last_crash_is_kept_with_the_counts);
    CPPUNIT_TEST(cancelled_workflow_keeps_no_time_of_a_crash);
    CPPUNIT_TEST(run_that_does_not_crash_clears_the_task);
    CPPUNIT_TEST(loss_of_an_established_run_clears_the_task);
    CPPUNIT_TEST(crashes_of_different_tasks_are_not_added);
    CPPUNIT_TEST(suspected_run_counts_once_it_is_known_to_have_crashed);
    CPPUNIT_TEST(cancelled_workflow_keeps_its_capacity_until_its_runs_end);
    CPPUNIT_TEST(end_of_one_gang_member_ends_all);
    CPPUNIT_TEST(task_resumes_from_its_last_checkpoint);
    CPPUNIT_TEST(workflow_is_completed_after_all_occurrences);
    CPPUNIT_TEST(restored_table_equals_the_saved_one);
    CPPUNIT_TEST(ended_workflow_is_kept_for_the_retention_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller who is told that nothing waits while a job is
    // placed but its start gets no answer.
    void placed_workflow_waits_until_a_task_has_begun()
    {
        submit({stage(2)});
        progress({}, {placed(run_of("a", 0, 0))});
        CPPUNIT_ASSERT(state() == workflow_state::queued);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, waiting());
        core::workflow_progress command;
        command.begun = {core::workflow_id("a"), core::workflow_id("unknown")};
        m_table.progress(command, at_ms(0));
        CPPUNIT_ASSERT(state() == workflow_state::running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waiting());
    }

    void end_that_shows_no_run_begins_no_workflow()
    {
        submit({stage(1)}, 10);
        std::uint32_t attempt = 0;
        for (auto const how : {run_end::refused,
                               run_end::lost,
                               run_end::crashed,
                               run_end::suspected})
        {
            run_and_end(++attempt, how);
            CPPUNIT_ASSERT(state() == workflow_state::queued);
        }
        run_and_end(++attempt, run_end::stopped);
        CPPUNIT_ASSERT(state() == workflow_state::running);
    }

    // Guards against a count that drifts, and against one that a snapshot or a
    // job that ends before it has begun leaves wrong.
    void waiting_workflows_are_counted_by_queue()
    {
        submit({stage(1)});
        m_table.submit(submission("b", {stage(1)}), queue(), at_ms(0));
        m_table.submit(submission("b", {stage(1)}), queue(), at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, waiting());
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id("b"), {}, {}},
            at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, waiting());
        auto const records = m_table.records();
        m_table.restore(records, {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, waiting());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             m_table.waiting({"jobs.example", "/other/"}));
        run_and_end(1, run_end::done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waiting());
    }

    // A caller that got no answer submits its job again.
    void resubmission_adds_no_workflow()
    {
        submit({stage(1)});
        progress({}, {placed(run_of("a", 0, 0))});
        submit({stage(1)});
        CPPUNIT_ASSERT(state() == workflow_state::queued);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.records().size());
    }

    void id_of_another_queue_is_rejected()
    {
        submit({stage(1)});
        auto other = submission("a", {stage(1)});
        other.queue = core::queue_id("other");
        CPPUNIT_ASSERT(m_table.submit(other, queue(), m_now).code ==
                       core::result_code::job_invalid);
        CPPUNIT_ASSERT(
            m_table.cancel({other.queue, other.workflow, {}, {}}, m_now).code ==
            core::result_code::job_unknown);
    }

    void stage_is_placed_only_after_its_dependencies()
    {
        auto second = stage(1);
        second.after = {0};
        submit({stage(2), second});
        progress({}, {placed(run_of("a", 1, 0))});
        CPPUNIT_ASSERT(!is_held(run_of("a", 1, 0)));
        progress({}, {placed(run_of("a", 0, 0)), placed(run_of("a", 0, 1))});
        progress({ended(run_of("a", 0, 0), run_end::done)},
                 {placed(run_of("a", 1, 0))});
        CPPUNIT_ASSERT(!is_held(run_of("a", 1, 0)));
        // Ends are applied before placements of the same command.
        progress({ended(run_of("a", 0, 1), run_end::done)},
                 {placed(run_of("a", 1, 0))});
        CPPUNIT_ASSERT(is_held(run_of("a", 1, 0)));
        progress({ended(run_of("a", 1, 0), run_end::done)}, {});
        CPPUNIT_ASSERT(state() == workflow_state::completed);
    }

    // A deposed leader's placement may be committed after its successor's.
    void placed_task_is_not_placed_again()
    {
        submit({stage(1)});
        progress({}, {placed(run_of("a", 0, 0), "w1")});
        progress({}, {placed(run_of("a", 0, 0, 2), "w2")});
        CPPUNIT_ASSERT(is_held(run_of("a", 0, 0), "w1"));
        CPPUNIT_ASSERT(m_table.held_on(core::worker_id("w2")).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_table.ignored_parts());
        progress({ended(run_of("a", 0, 0), run_end::done)},
                 {placed(run_of("a", 0, 0, 2), "w2")});
        CPPUNIT_ASSERT(m_table.held_on(core::worker_id("w2")).empty());
    }

    // A restarted worker keeps its id but knows nothing of earlier runs.
    void end_of_another_incarnation_is_ignored()
    {
        submit({stage(1)});
        progress({}, {placed(run_of("a", 0, 0), "w1", 2)});
        progress({ended(run_of("a", 0, 0), run_end::done, "w1", 1)}, {});
        CPPUNIT_ASSERT(state() == workflow_state::queued);
        CPPUNIT_ASSERT(is_held(run_of("a", 0, 0), "w1", 2));
    }

    void only_failures_count_against_the_attempts()
    {
        submit({stage(1)}, 2);
        run_and_end(1, run_end::stopped);
        run_and_end(2, run_end::failed);
        run_and_end(3, run_end::lapsed);
        run_and_end(4, run_end::lost);
        run_and_end(5, run_end::refused);
        CPPUNIT_ASSERT(state() == workflow_state::running);
        run_and_end(6, run_end::failed);
        CPPUNIT_ASSERT(state() == workflow_state::failed);
    }

    // Guards against a gang that is given up after one attempt because one sick
    // worker has failed several of its members.
    void members_that_fail_in_one_attempt_of_a_gang_count_once()
    {
        submit({gang(3)}, 2);
        place_gang(1);
        for (std::uint32_t member = 0; member < 3; ++member)
        {
            progress({ended(run_of("a", 0, member), run_end::failed)}, {});
            CPPUNIT_ASSERT(state() == workflow_state::running);
        }
        place_gang(2);
        progress({ended(run_of("a", 0, 2, 2), run_end::failed)}, {});
        CPPUNIT_ASSERT(state() == workflow_state::failed);
    }

    void late_failure_in_a_failed_attempt_of_a_gang_is_not_counted()
    {
        submit({gang(3)}, 2);
        place_gang(1);
        auto unanswered = ended(run_of("a", 0, 0), run_end::refused);
        unanswered.is_start_unresolved = true;
        progress({unanswered,
                  ended(run_of("a", 0, 1), run_end::failed),
                  ended(run_of("a", 0, 2), run_end::broken)},
                 {});
        core::workflow_progress late;
        late.late_ends = {ended(run_of("a", 0, 0), run_end::failed)};
        m_table.progress(late, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_table.ignored_parts());
        CPPUNIT_ASSERT(state() == workflow_state::running);
    }

    // Guards against a count that a new leader begins again.
    void failed_attempts_of_a_gang_are_in_the_snapshot()
    {
        submit({gang(3)}, 2);
        place_gang(1);
        progress({ended(run_of("a", 0, 0), run_end::failed),
                  ended(run_of("a", 0, 1), run_end::broken),
                  ended(run_of("a", 0, 2), run_end::broken)},
                 {});
        auto records = m_table.records();
        m_table = {};
        m_table.restore(std::move(records), {});
        place_gang(2);
        progress({ended(run_of("a", 0, 1, 2), run_end::failed)}, {});
        CPPUNIT_ASSERT(state() == workflow_state::failed);
    }

    void long_running_task_may_fail_any_number_of_times()
    {
        auto service = stage(1);
        service.behaviour.long_running = true;
        submit({service}, 1);
        run_and_end(1, run_end::failed);
        run_and_end(2, run_end::done);
        run_and_end(3, run_end::failed);
        CPPUNIT_ASSERT(state() == workflow_state::running);
    }

    // Ends that say nothing about the task must not clear it: otherwise a task
    // that crashes every worker is neither isolated nor delayed, as orders get
    // lost.
    void ends_that_show_no_survival_keep_the_counted_crashes()
    {
        submit({stage(1)});
        run_and_end(1, run_end::crashed);
        run_and_end(2, run_end::lost);
        run_and_end(3, run_end::crashed);
        run_and_end(4, run_end::refused);
        run_and_end(5, run_end::crashed);
        run_and_end(6, run_end::crashed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, task_record().crashes);
    }

    // Guards against a job that is shown as failed because its workers
    // restarted several times, though none of its tasks has ended `failed`.
    // The counts must stay: they isolate a task that is the cause.
    void crashes_never_fail_a_workflow()
    {
        for (bool const is_long_running : {false, true})
        {
            m_table = {};
            auto description = stage(1);
            description.behaviour.long_running = is_long_running;
            submit({description});
            constexpr std::uint32_t crashes = 12;
            for (std::uint32_t attempt = 1; attempt <= crashes; ++attempt)
            {
                run_and_end(attempt, run_end::crashed);
                CPPUNIT_ASSERT(state() == workflow_state::queued);
                CPPUNIT_ASSERT_EQUAL(attempt, task_record().crashes);
            }
        }
    }

    // An elected leader delays the next start of a task that crashes its
    // workers by this time. Guards against one that outlives the counts.
    void time_of_the_last_crash_is_kept_with_the_counts()
    {
        submit({stage(1)}, 10);
        std::uint32_t attempt = 0;
        for (auto const how : {run_end::failed, run_end::done})
        {
            for (std::int64_t i = 1; i <= crashes_before_delay; ++i)
            {
                CPPUNIT_ASSERT(m_table.last_crashes().empty());
                m_now += std::chrono::seconds(1);
                run_and_end(++attempt, run_end::crashed);
            }
            auto const& last = m_table.last_crashes();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last.size());
            CPPUNIT_ASSERT(last.begin()->first == run_of("a", 0, 0).task);
            CPPUNIT_ASSERT(last.begin()->second == m_now);
            m_now += std::chrono::seconds(1);
            run_and_end(++attempt, run_end::refused);
            CPPUNIT_ASSERT(last.begin()->second ==
                           m_now - std::chrono::seconds(1));
            run_and_end(++attempt, how);
            CPPUNIT_ASSERT(m_table.last_crashes().empty());
        }
    }

    void cancelled_workflow_keeps_no_time_of_a_crash()
    {
        submit({stage(1)});
        for (std::uint32_t i = 1; i <= crashes_before_delay; ++i)
        {
            run_and_end(i, run_end::crashed);
        }
        cancel();
        CPPUNIT_ASSERT(m_table.last_crashes().empty());
    }

    // A task that started on a worker without crashing it was not the cause of
    // earlier crashes. Without this, a task that runs for hours beside others
    // would be isolated and delayed for the crashes that they cause.
    void run_that_does_not_crash_clears_the_task()
    {
        std::uint32_t attempt = 0;
        submit({stage(1)}, 10);
        for (auto const how : {run_end::failed,
                               run_end::stopped,
                               run_end::lapsed,
                               run_end::broken,
                               run_end::alone})
        {
            for (int i = 0; i < 3; ++i)
            {
                run_and_end(++attempt, run_end::crashed);
            }
            run_and_end(++attempt, how);
            CPPUNIT_ASSERT(state() == workflow_state::running);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, task_record().crashes);
        }
    }

    // A long-running task ends only with its worker. Without this, crashes that
    // others cause add up over hours of work and fail its workflow.
    void loss_of_an_established_run_clears_the_task()
    {
        auto service = stage(1);
        service.behaviour.long_running = true;
        submit({service});
        std::uint32_t attempt = 0;
        for (int round = 0; round < 3; ++round)
        {
            run_and_end(++attempt, run_end::suspected);
            for (int i = 0; i < 3; ++i)
            {
                run_and_end(++attempt, run_end::crashed);
            }
            auto const run = run_of("a", 0, 0, ++attempt);
            auto loss = ended(run, run_end::lost);
            loss.established = true;
            progress({}, {placed(run)});
            progress({loss}, {});
            CPPUNIT_ASSERT(state() == workflow_state::running);
            CPPUNIT_ASSERT_EQUAL(
                std::uint32_t{0},
                core::possible_crashes(*m_table.find_task(run.task)));
            CPPUNIT_ASSERT(m_table.suspected().empty());
        }
    }

    void crashes_of_different_tasks_are_not_added()
    {
        submit({stage(2)});
        for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
        {
            for (std::uint32_t index = 0; index < 2; ++index)
            {
                auto const run = run_of("a", 0, index, attempt);
                progress({}, {placed(run)});
                progress({ended(run, run_end::crashed)}, {});
            }
        }
        for (std::uint32_t index = 0; index < 2; ++index)
        {
            auto const* const task =
                m_table.find_task(run_of("a", 0, index).task);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, task->crashes);
        }
    }

    // A suspected run alone must not fail a job, and one that is resolved
    // twice, by two leaders, must count once.
    void suspected_run_counts_once_it_is_known_to_have_crashed()
    {
        submit({stage(1)});
        std::uint32_t attempt = 0;
        for (int i = 0; i < 9; ++i)
        {
            run_and_end(++attempt, run_end::suspected);
        }
        CPPUNIT_ASSERT(state() == workflow_state::queued);
        core::workflow_progress known;
        known.resolved = {ended(run_of("a", 0, 0, attempt), run_end::crashed)};
        for (int i = 0; i < 2; ++i)
        {
            m_table.progress(known, m_now);
            auto const& task = *m_table.find_task(run_of("a", 0, 0).task);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task.crashes);
            CPPUNIT_ASSERT_EQUAL(std::size_t{7}, task.suspected.size());
        }
        workflow_table other;
        other.restore(m_table.records(), {});
        CPPUNIT_ASSERT(other.suspected() == m_table.suspected());
        run_and_end(++attempt, run_end::failed);
        CPPUNIT_ASSERT(m_table.suspected().empty());
    }

    // Guards against capacity that is reserved twice while a task is being
    // stopped.
    void cancelled_workflow_keeps_its_capacity_until_its_runs_end()
    {
        submit({stage(1)});
        progress({}, {placed(run_of("a", 0, 0))});
        cancel();
        cancel();
        CPPUNIT_ASSERT(state() == workflow_state::cancelled);
        CPPUNIT_ASSERT(is_held(run_of("a", 0, 0)));
        CPPUNIT_ASSERT(m_table.find_stage(run_of("a", 0, 0).task) != nullptr);
        progress({ended(run_of("a", 0, 0), run_end::done)}, {});
        CPPUNIT_ASSERT(!is_held(run_of("a", 0, 0)));
        CPPUNIT_ASSERT(state() == workflow_state::cancelled);
        progress({}, {placed(run_of("a", 0, 0, 2))});
        CPPUNIT_ASSERT(m_table.holds().empty());
    }

    void end_of_one_gang_member_ends_all()
    {
        auto gang = stage(2);
        gang.behaviour.gang = true;
        submit({gang});
        progress({}, {placed(run_of("a", 0, 0)), placed(run_of("a", 0, 1))});
        progress({ended(run_of("a", 0, 0), run_end::done)}, {});
        CPPUNIT_ASSERT(state() == workflow_state::completed);
        // The other member keeps its capacity until its own end is applied.
        CPPUNIT_ASSERT(is_held(run_of("a", 0, 1)));
    }

    void task_resumes_from_its_last_checkpoint()
    {
        submit({stage(1)});
        progress({}, {placed(run_of("a", 0, 0))});
        core::workflow_progress noted;
        noted.checkpoints.push_back(
            {run_of("a", 0, 0), core::checkpoint_id("one")});
        m_table.progress(noted, m_now);
        CPPUNIT_ASSERT(checkpoint() == "one");
        progress({ended(run_of("a", 0, 0), run_end::stopped, "w1", 1, "two")},
                 {});
        CPPUNIT_ASSERT(checkpoint() == "two");
        // A late checkpoint of the ended attempt must not replace a newer one.
        progress({}, {placed(run_of("a", 0, 0, 2))});
        m_table.progress(noted, m_now);
        CPPUNIT_ASSERT(checkpoint() == "two");
    }

    void workflow_is_completed_after_all_occurrences()
    {
        auto recurring = submission("a", {stage(1)});
        recurring.description.schedule.occurrences = 2;
        m_table.submit(recurring, queue(), m_now);
        auto run = run_of("a", 0, 0);
        for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence)
        {
            CPPUNIT_ASSERT(state() != workflow_state::completed);
            run.task.occurrence = occurrence;
            progress({}, {placed(run)});
            progress({ended(run, run_end::done)}, {});
        }
        CPPUNIT_ASSERT(state() == workflow_state::completed);
    }

    void restored_table_equals_the_saved_one()
    {
        submit({stage(2)});
        progress({}, {placed(run_of("a", 0, 0)), placed(run_of("a", 0, 1))});
        progress({ended(run_of("a", 0, 0), run_end::failed)}, {});
        core::workflow_progress recorded;
        recorded.longest_lease = std::chrono::seconds(6);
        m_table.progress(recorded, m_now);
        workflow_table other;
        other.restore(m_table.records(), m_table.longest_lease());
        CPPUNIT_ASSERT(other.records() == m_table.records());
        CPPUNIT_ASSERT(other.holds() == m_table.holds());
        CPPUNIT_ASSERT(other.active() == m_table.active());
        CPPUNIT_ASSERT(other.longest_lease() == recorded.longest_lease);
    }

    void ended_workflow_is_kept_for_the_retention_time()
    {
        submit({stage(1)});
        cancel();
        m_table.prune(m_now + final_retention, 10);
        CPPUNIT_ASSERT(m_table.find(core::workflow_id("a")) != nullptr);
        m_table.prune(m_now + final_retention + std::chrono::seconds(1), 10);
        CPPUNIT_ASSERT(m_table.find(core::workflow_id("a")) == nullptr);
    }

private:
    std::uint64_t waiting() const
    {
        return m_table.waiting(core::address_of(queue()));
    }

    void submit(std::vector<core::stage_description> stages,
                std::uint32_t attempts = 3)
    {
        m_table.submit(
            submission("a", std::move(stages)), queue(attempts), m_now);
    }

    void cancel()
    {
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id("a"), {}, {}}, m_now);
    }

    void progress(std::vector<core::run_outcome> ends,
                  std::vector<core::run_placement> placements)
    {
        core::workflow_progress command;
        command.ends = std::move(ends);
        command.placements = std::move(placements);
        m_table.progress(command, m_now);
    }

    static core::stage_description gang(std::uint32_t members)
    {
        auto result = stage(members);
        result.behaviour.gang = true;
        return result;
    }

    /// Places the three members of the gang on w1.
    void place_gang(std::uint32_t attempt)
    {
        progress({},
                 {placed(run_of("a", 0, 0, attempt)),
                  placed(run_of("a", 0, 1, attempt)),
                  placed(run_of("a", 0, 2, attempt))});
    }

    void run_and_end(std::uint32_t attempt, run_end how)
    {
        progress({}, {placed(run_of("a", 0, 0, attempt))});
        progress({ended(run_of("a", 0, 0, attempt), how)}, {});
    }

    workflow_state state() const
    {
        return m_table.find(core::workflow_id("a"))->state;
    }

    bool is_held(core::task_run const& run,
                 std::string const& worker = "w1",
                 std::uint64_t life = 1) const
    {
        return m_table.is_held(
            run, core::worker_id(worker), core::incarnation(life));
    }

    core::task_record const& task_record() const
    {
        return *m_table.find_task(run_of("a", 0, 0).task);
    }

    std::string checkpoint() const
    {
        return m_table.find_task(run_of("a", 0, 0).task)->checkpoint.value();
    }

    workflow_table m_table;
    core::time_point m_now = at_ms(1000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(workflow_table_test);

} // namespace turmericswitch::workflow
