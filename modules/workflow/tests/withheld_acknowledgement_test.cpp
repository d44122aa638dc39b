#include "dispatcher_fixture.hpp"

#include <chrono>
#include <string>

namespace turmericswitch::workflow
{

using namespace testing;

/// Ends of tasks with a start that worker w1 has not answered. Each test guards
/// against an acknowledgement that w1 keeps while its next incarnation executes
/// that start, so that a task begins again after its end, or against ends that
/// stay on the worker's list without need.
class withheld_acknowledgement_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(withheld_acknowledgement_test);
    CPPUNIT_TEST(end_done_is_committed_and_not_acknowledged);
    CPPUNIT_TEST(end_is_acknowledged_once_no_start_is_left);
    CPPUNIT_TEST(end_failed_is_not_acknowledged);
    CPPUNIT_TEST(start_of_another_attempt_withholds_the_acknowledgement);
    CPPUNIT_TEST(start_on_another_worker_withholds_the_acknowledgement);
    CPPUNIT_TEST(earlier_ends_are_acknowledged_and_later_ones_wait);
    CPPUNIT_TEST(ends_of_other_tasks_are_acknowledged);
    CPPUNIT_TEST(end_that_an_earlier_leader_has_committed_is_withheld);
    CPPUNIT_TEST(end_of_a_gang_waits_for_the_starts_of_all_members);
    CPPUNIT_TEST(gang_waits_for_the_unknown_start_of_any_member);
    CPPUNIT_TEST(gang_waits_for_the_replaced_sidecar_of_another_worker);
    CPPUNIT_TEST(start_that_a_replaced_sidecar_named_is_not_forgotten);
    CPPUNIT_TEST(gang_waits_for_the_next_report_of_another_worker);
    CPPUNIT_TEST(gang_does_not_wait_for_workers_that_list_its_members);
    CPPUNIT_TEST(task_that_may_have_copies_does_not_wait);
    CPPUNIT_TEST(stopped_run_does_not_wait);
    CPPUNIT_TEST(start_of_a_replaced_sidecar_withholds_the_acknowledgement);
    CPPUNIT_TEST(run_that_the_replaced_sidecar_listed_does_not_wait);
    CPPUNIT_TEST(start_of_a_lost_sidecar_expires);
    CPPUNIT_TEST(withheld_ends_are_logged);
    CPPUNIT_TEST_SUITE_END();

    /// From the commit of an end until no start that was called before can be
    /// executed.
    static constexpr core::duration longest_wait = std::chrono::seconds(13);
    /// The same from the last report of a sidecar that is gone: an order may
    /// follow it, and its calls are repeated.
    static constexpr core::duration longest_wait_after_report =
        std::chrono::seconds(15);

public:
    void end_done_is_committed_and_not_acknowledged()
    {
        begin({stage(1)});
        m_unresolved = {m_run};
        end(m_run);
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        expect_ends(0, 1);
    }

    void end_is_acknowledged_once_no_start_is_left()
    {
        end_done_is_committed_and_not_acknowledged();
        m_unresolved.clear();
        report_w1();
        expect_ends(1, 0);
    }

    // Guards against one attempt too many after the last failed one.
    void end_failed_is_not_acknowledged()
    {
        begin({stage(1)});
        m_unresolved = {m_run};
        end(m_run, core::run_end::failed);
        expect_ends(0, 1);
    }

    // An earlier attempt is not `old` on the next incarnation.
    void start_of_another_attempt_withholds_the_acknowledgement()
    {
        begin({stage(1)});
        end(m_run, core::run_end::stopped);
        auto const second = run_of("a", 0, 0, 2);
        commit();
        m_unresolved = {m_run};
        end(second);
        expect_ends(1, 2);
    }

    void start_on_another_worker_withholds_the_acknowledgement()
    {
        begin({stage(1)});
        auto other = report_of("w2");
        other.unresolved.runs = {m_run};
        m_dispatcher->report(m_now, std::move(other));
        end(m_run);
        expect_ends(0, 1);
    }

    // The acknowledged number is for all ends up to it.
    void earlier_ends_are_acknowledged_and_later_ones_wait()
    {
        begin({stage(3)});
        m_unresolved = {m_other_run};
        end(m_run);
        end(m_other_run);
        end(run_of("a", 0, 2));
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        expect_ends(1, 3);
    }

    void ends_of_other_tasks_are_acknowledged()
    {
        begin({stage(2)});
        m_unresolved = {m_other_run};
        end(m_run);
        expect_ends(1, 0);
    }

    // The table has dropped the stages of the ended job by then.
    void end_that_an_earlier_leader_has_committed_is_withheld()
    {
        begin({stage(1)});
        m_unresolved = {m_run};
        end(m_run);
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        report_w1();
        expect_ends(0, 1);
        m_unresolved.clear();
        report_w1();
        expect_ends(1, 0);
    }

    // One end stands for all members.
    void end_of_a_gang_waits_for_the_starts_of_all_members()
    {
        begin({gang()});
        m_unresolved = {m_other_run};
        end(m_run);
        CPPUNIT_ASSERT(state_of("a") == core::workflow_state::completed);
        expect_ends(0, 1);
        m_unresolved.clear();
        pass(resolution);
        expect_ends(1, 0);
    }

    // Guards against a member that can't be followed by a start, and stands for
    // the one before, which can.
    void gang_waits_for_the_unknown_start_of_any_member()
    {
        begin({gang()});
        m_listed = {m_other_run};
        report_w1();
        replace_sidecar();
        end(m_run);
        auto const committed_at = m_now;
        end(m_other_run);
        expect_withheld_until(committed_at + longest_wait, 2);
    }

    // The sidecar of w2 was replaced and knows nothing of the earlier calls.
    void gang_waits_for_the_replaced_sidecar_of_another_worker()
    {
        begin_gang_on_two_workers();
        replace_other_sidecar();
        end(m_run);
        expect_withheld_until(m_now + longest_wait, 1);
    }

    // The call is under way although nobody names it any more.
    void start_that_a_replaced_sidecar_named_is_not_forgotten()
    {
        begin_gang_on_two_workers();
        m_other_unresolved = {m_other_run};
        report_w2();
        auto const named_at = m_now;
        end(m_run);
        m_other_unresolved.clear();
        replace_other_sidecar();
        expect_withheld_until(named_at + longest_wait_after_report, 1);
    }

    // The sidecar of w2 has called the start after its last report.
    void gang_waits_for_the_next_report_of_another_worker()
    {
        begin_gang_on_two_workers();
        end(m_run);
        expect_ends(0, 1);
        m_now += resolution;
        report_w2();
        expect_ends(1, 0);
    }

    void gang_does_not_wait_for_workers_that_list_its_members()
    {
        begin_gang_on_two_workers();
        m_other_listed = {m_other_run};
        report_w2();
        end(m_run);
        expect_ends(1, 0);
    }

    // Copies of it may run after its end anyway.
    void task_that_may_have_copies_does_not_wait()
    {
        auto copied = stage(2);
        copied.behaviour.speculative = true;
        begin({copied});
        m_unresolved = {m_run};
        end(m_run);
        expect_ends(1, 0);
    }

    // The task is to run again.
    void stopped_run_does_not_wait()
    {
        begin({stage(1)});
        m_unresolved = {m_run};
        end(m_run, core::run_end::stopped);
        expect_ends(1, 0);
    }

    // The sidecar was replaced while the start was under way. The present one
    // knows nothing of the call.
    void start_of_a_replaced_sidecar_withholds_the_acknowledgement()
    {
        begin({stage(1)});
        replace_sidecar();
        end(m_run);
        expect_withheld_until(m_now + longest_wait, 1);
    }

    // Guards against ends that all wait whenever a sidecar is replaced.
    void run_that_the_replaced_sidecar_listed_does_not_wait()
    {
        begin({stage(1)});
        m_listed = {m_run};
        report_w1();
        replace_sidecar();
        end(m_run);
        expect_ends(1, 0);
    }

    void start_of_a_lost_sidecar_expires()
    {
        begin({stage(1)});
        auto other = report_of("w2");
        other.unresolved.runs = {m_run};
        m_dispatcher->report(m_now, std::move(other));
        auto const reported_at = m_now;
        end(m_run);
        expect_withheld_until(reported_at + longest_wait_after_report, 1);
    }

    void withheld_ends_are_logged()
    {
        end_done_is_committed_and_not_acknowledged();
        pass(std::chrono::seconds(2));
        m_unresolved.clear();
        report_w1();
        expect_ends(1, 0);
        auto const& logged = last_event(core::event_code::ends_withheld);
        CPPUNIT_ASSERT(has_field(logged, core::number_field("first", 1)));
        CPPUNIT_ASSERT(has_field(logged, core::number_field("last", 1)));
        CPPUNIT_ASSERT(has_field(
            logged, core::time_field("time_ms", std::chrono::seconds(2))));
        CPPUNIT_ASSERT(
            has_field(logged, core::number_field("acknowledged", 1)));
    }

private:
    static constexpr core::duration resolution = std::chrono::milliseconds(1);

    /// Submits job `a` and places its tasks on w1. Then w2 reports too.
    void begin(std::vector<core::stage_description> stages)
    {
        m_table.submit(submission("a", std::move(stages)), queue(), m_now);
        report_w1();
        commit();
        CPPUNIT_ASSERT(m_table.is_held(
            m_run, core::worker_id("w1"), core::incarnation(1)));
        report_w2();
    }

    static core::stage_description gang()
    {
        auto result = stage(2);
        result.behaviour.gang = true;
        return result;
    }

    /// Places the first member of a gang on w1 and the second one on w2.
    void begin_gang_on_two_workers()
    {
        m_table.submit(submission("a", {gang()}), queue(), m_now);
        core::workflow_progress by_earlier;
        by_earlier.placements = {placed(m_run, "w1"),
                                 placed(m_other_run, "w2")};
        m_table.progress(by_earlier, m_now);
        m_dispatcher->applied(m_now, by_earlier);
        report_w1();
        report_w2();
    }

    void report_w2()
    {
        m_dispatcher->report(m_now, report_of("w2"));
    }

    /// The end is reported and committed.
    void end(core::task_run const& run, core::run_end how = core::run_end::done)
    {
        std::erase(m_listed, run);
        m_ended.push_back({m_ended.size() + 1, run, how, {}});
        m_now += resolution;
        m_dispatcher->report(m_now, report_of("w1"));
        auto const command = plan_once();
        CPPUNIT_ASSERT(command && command->ends.size() == 1);
        auto ends = *command;
        ends.placements.clear();
        m_table.progress(ends, m_now);
        m_dispatcher->applied(m_now, ends);
    }

    void replace_sidecar()
    {
        m_sidecar = core::incarnation(2);
        m_is_complete = false;
        m_now += resolution;
        report_w1();
    }

    void replace_other_sidecar()
    {
        m_other_sidecar = core::incarnation(2);
        m_other_is_complete = false;
        m_now += resolution;
        report_w2();
    }

    void report_w1()
    {
        m_dispatcher->report(m_now, report_of("w1"));
        grant();
    }

    void pass(core::duration time)
    {
        m_now += time;
        report_w1();
    }

    /// @param withheld_up_to Zero if the worker may drop all committed ends.
    void expect_ends(std::uint64_t acknowledged, std::uint64_t withheld_up_to)
    {
        auto const answer = grant();
        CPPUNIT_ASSERT_EQUAL(acknowledged, answer.acknowledged_ends);
        CPPUNIT_ASSERT_EQUAL(withheld_up_to, answer.committed_ends);
    }

    /// @param last Number of the last end; all up to it are withheld.
    void expect_withheld_until(core::time_point time, std::uint64_t last)
    {
        expect_ends(0, last);
        pass(time - resolution - m_now);
        expect_ends(0, last);
        pass(resolution);
        expect_ends(last, 0);
    }

    core::runtime_report report_of(std::string const& worker) const
    {
        bool const is_first = worker == "w1";
        core::runtime_report result;
        result.host = core::instance_id(is_first ? "host" : "host of w2");
        result.sidecar = is_first ? m_sidecar : m_other_sidecar;
        result.profile = profile(worker);
        result.clock =
            std::chrono::milliseconds(at_work_ms) + (m_now - at_ms(1'000'000));
        result.runs = running(is_first ? m_listed : m_other_listed);
        if (is_first)
        {
            result.runs->ended = m_ended;
        }
        result.unresolved.runs = is_first ? m_unresolved : m_other_unresolved;
        result.unresolved.is_complete =
            is_first ? m_is_complete : m_other_is_complete;
        return result;
    }

    core::task_run m_run = run_of("a", 0, 0);
    core::task_run m_other_run = run_of("a", 0, 1);
    std::vector<core::task_run> m_unresolved;
    std::vector<core::task_run> m_listed;
    std::vector<core::ended_run> m_ended;
    bool m_is_complete = true;
    /// The same of w2.
    std::vector<core::task_run> m_other_unresolved;
    std::vector<core::task_run> m_other_listed;
    core::incarnation m_other_sidecar{1};
    bool m_other_is_complete = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(withheld_acknowledgement_test);

} // namespace turmericswitch::workflow
